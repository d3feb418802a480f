package clayhook.fleet.state;

import java.util.EnumMap;
import java.util.Map;

/** What a copy has done since its start; read for the log, by the thread that takes the turns. */
public final class StateCounters {
    /** Entries told as news, once for each member told. */
    public long deltasSent;
    /** Entries that came as news and changed this copy. */
    public long deltasApplied;
    /** Entries that came as news and were here already. */
    public long duplicateDeltas;
    /** Entries that were missing or older here, as a comparison showed. */
    public long antiEntropyRepairs;
    /** Changed entries that were no more told as news for want of time or room. */
    public long deltasAbandoned;
    /** Values not taken, by why. */
    public final Map<ApplyResult, Long> rejections = new EnumMap<>(ApplyResult.class);
    /** Values of kinds that this release does not know. */
    public long unknownTypes;
    /** Comparisons begun, carried through, and given up because the other fell silent or this router stood. */
    public long sessionsStarted;

    public long sessionsCompleted;
    public long sessionsAborted;
    /** Questions asked again. */
    public long requestsRetried;
    /** Questions of others that found the queue full. */
    public long requestsDropped;
    /**
     * Bytes of news, of all that comparisons made this router send, and of pieces of numbers; without the packets'
     * frames.
     */
    public long deltaBytes;

    public long antiEntropyBytes;
    public long versionGossipBytes;
}
