package clayhook.fleet.state;

import java.util.EnumMap;
import java.util.Map;

/** Counters of a replica since its start. Not thread-safe: written and read by the thread that ticks the replica. */
public final class StateCounters {
    /** Entries broadcast, counted once for each member to which they were sent. */
    public long deltasSent;
    /** Entries received by broadcast that changed this replica. */
    public long deltasApplied;
    /** Entries received by broadcast that did not change this replica. */
    public long duplicateDeltas;
    /** Entries received by anti-entropy that changed this replica. */
    public long antiEntropyRepairs;
    /**
     * Changed entries whose broadcast was ended early because it took too long or the queue was full; anti-entropy
     * replicates them.
     */
    public long deltasAbandoned;
    /** Rejected values by reason. */
    public final Map<ApplyResult, Long> rejections = new EnumMap<>(ApplyResult.class);
    /** Received values of types that this release does not support. */
    public long unknownTypes;
    /** Anti-entropy sessions started. */
    public long sessionsStarted;
    /** Anti-entropy sessions completed. */
    public long sessionsCompleted;
    /** Anti-entropy sessions abandoned because the peer timed out or this router stalled. */
    public long sessionsAborted;
    /** Anti-entropy requests retried. */
    public long requestsRetried;
    /** Anti-entropy requests of other members dropped because the queue was full. */
    public long requestsDropped;
    /** Bytes of broadcasts sent, without packet headers. */
    public long deltaBytes;
    /** Bytes of anti-entropy requests, responses and pushed entries sent, without packet headers. */
    public long antiEntropyBytes;
    /** Bytes of gossiped version vectors sent, without packet headers. */
    public long versionGossipBytes;
}
