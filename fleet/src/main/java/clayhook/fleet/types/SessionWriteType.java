package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/** The replicated type of {@link SessionWrite}: merges to the highest position. */
final class SessionWriteType implements ReplicatedType<SessionWrite> {
    private static final int TYPE_NUMBER = 3;
    /**
     * Bound of the entries, at about 200 bytes each: the writes of the retention at 800 writing sessions per second.
     */
    private static final int MAX_ENTRIES = 100_000;

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public String name() {
        return "marks";
    }

    @Override
    public SessionWrite merge(SessionWrite a, SessionWrite b) {
        return SessionWrite.ORDER.compare(a, b) >= 0 ? a : b;
    }

    /** Returns the position, so that the eviction floor is a position as well. */
    @Override
    public double timestamp(SessionWrite value) {
        return value.position();
    }

    @Override
    public double retentionSeconds() {
        return SessionWrite.RETENTION_SECONDS;
    }

    @Override
    public int maxEntries() {
        return MAX_ENTRIES;
    }

    /** Returns false, as positions come from nodes and don't depend on the clock of the router that forwards them. */
    @Override
    public boolean clockDependent() {
        return false;
    }

    @Override
    public void write(SessionWrite value, FieldWriter out) {
        out.writeDouble(value.position()).writeLong(value.replicaSet());
    }

    @Override
    public SessionWrite read(FieldReader in) {
        return new SessionWrite(in.readDouble(), in.readIntBelow(FieldValidation.MAX_REPLICA_SETS));
    }
}
