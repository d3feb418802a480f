package clayhook.fleet.state;

import java.util.EnumMap;
import java.util.Map;

/** What a copy has done since its start; read for the log, by the thread that takes the turns. */
public final class StateCounts {
    /** Entries told as news, once for each member told. */
    public long newsSent;
    /** Entries that came as news and changed this copy. */
    public long newsHeard;
    /** Entries that came as news and were here already. */
    public long newsAgain;
    /** Entries that were missing or older here, as a comparison showed. */
    public long newsLate;
    /** Changed entries that were no more told as news for want of time or room. */
    public long leftToDigests;
    /** Values not taken, by why. */
    public final Map<Fate, Long> refused = new EnumMap<>(Fate.class);
    /** Values of kinds that this release does not know. */
    public long unknownKinds;
    /** Comparisons begun, carried through, and given up because the other fell silent or this router stood. */
    public long walksBegun;

    public long walksDone;
    public long walksGivenUp;
    /** Questions asked again. */
    public long askedAgain;
    /** Questions of others that found the queue full. */
    public long asksDropped;
    /**
     * Bytes of news, of all that comparisons made this router send, and of pieces of numbers; without the packets'
     * frames.
     */
    public long newsBytes;

    public long walkBytes;
    public long pairsBytes;
}
