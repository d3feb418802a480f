package clayhook.fleet.state;

import java.util.EnumMap;
import java.util.Map;

/** What a replica has done since its start. Not thread-safe: written and read by the thread that ticks the replica. */
public final class StateCounters {
    /** Entries broadcast, once for each member that they were sent to. */
    public long deltasSent;
    /** Entries that arrived by broadcast and changed this replica. */
    public long deltasApplied;
    /** Entries that arrived by broadcast and did not change this replica. */
    public long duplicateDeltas;
    /** Entries that arrived by anti-entropy and changed this replica. */
    public long antiEntropyRepairs;
    /** Changed entries whose broadcast was cut short for want of time or room; they are left to anti-entropy. */
    public long deltasAbandoned;
    /** Rejected values by reason. */
    public final Map<ApplyResult, Long> rejections = new EnumMap<>(ApplyResult.class);
    /** Values of types that this release does not know. */
    public long unknownTypes;
    /** Anti-entropy sessions started. */
    public long sessionsStarted;
    /** Anti-entropy sessions that were carried through. */
    public long sessionsCompleted;
    /** Anti-entropy sessions abandoned because the peer timed out or this router stalled. */
    public long sessionsAborted;
    /** Anti-entropy requests repeated. */
    public long requestsRetried;
    /** Anti-entropy requests of other members dropped because too many were queued. */
    public long requestsDropped;
    /** Bytes of broadcasts sent, without packet headers. */
    public long deltaBytes;
    /** Bytes of anti-entropy requests, responses and pushed entries sent, without packet headers. */
    public long antiEntropyBytes;
    /** Bytes of gossiped version vectors sent, without packet headers. */
    public long versionGossipBytes;
}
