package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/** The replicated type of {@link SessionWrite}: the furthest position. */
final class SessionWriteType implements ReplicatedType<SessionWrite> {
    private static final int TYPE_NUMBER = 3;
    /** All of the retention at eight hundred sessions a second that write; some 200 bytes each. */
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

    /** Returns the position, so that the eviction floor is a position too. */
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

    /** False, as positions come from nodes, whatever the clock of the router that passes them on. */
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
