package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.ListedEndpoint.EndpointState;

/**
 * The replicated type of {@link ListedEndpoint}: merges to the newest revision, and within a revision to the more
 * closed state.
 */
final class ListedEndpointType implements ReplicatedType<ListedEndpoint> {
    private static final int TYPE_NUMBER = 2;
    /**
     * Retention in seconds. Routers that receive the list renew its entries before they expire, so this only limits how
     * long the list is kept while the discovery service is down.
     */
    private static final double RETENTION_SECONDS = 3600;
    /** Bound of the entries: the nodes of the largest permitted list, of both the current and the previous source. */
    private static final int MAX_ENTRIES = 20_000;

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public String name() {
        return "listed";
    }

    @Override
    public ListedEndpoint merge(ListedEndpoint a, ListedEndpoint b) {
        ListedEndpoint winner = ListedEndpoint.ORDER.compare(a, b) >= 0 ? a : b;
        return winner.withLastReceivedAt(Math.max(a.lastReceivedAt(), b.lastReceivedAt()));
    }

    @Override
    public double timestamp(ListedEndpoint value) {
        return value.lastReceivedAt();
    }

    @Override
    public double retentionSeconds() {
        return RETENTION_SECONDS;
    }

    @Override
    public int maxEntries() {
        return MAX_ENTRIES;
    }

    @Override
    public boolean urgent() {
        return true;
    }

    /**
     * Returns false, as values are ordered by revision: a router with a skewed clock may be the first to receive a
     * drain.
     */
    @Override
    public boolean clockDependent() {
        return false;
    }

    @Override
    public void write(ListedEndpoint value, FieldWriter out) {
        out.writeLong(value.revision())
                .writeLong(value.state().code())
                .writeDouble(value.incarnationStartedAt())
                .writeBoolean(value.primary())
                .writeNullableString(value.zone())
                .writeLong(value.replicaSet())
                .writeNullableString(value.host())
                .writeLong(value.port())
                .writeDouble(value.lastReceivedAt());
    }

    @Override
    public ListedEndpoint read(FieldReader in) {
        return new ListedEndpoint(
                in.readLong(),
                EndpointState.ofCode(in.readLong()),
                in.readDouble(),
                in.readBoolean(),
                in.readNullableString(),
                in.readIntBelow(FieldValidation.MAX_REPLICA_SETS),
                in.readNullableString(),
                in.readIntBelow(FieldValidation.PORT_LIMIT),
                in.readDouble());
    }
}
