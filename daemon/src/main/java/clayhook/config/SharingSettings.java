package clayhook.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The operator's settings of what a router shares with its peers. Times are seconds. Immutable.
 *
 * @param listen where datagrams are received; port 0 for any that is free
 * @param advertise where peers send them to; null for the address of {@code listen}
 * @param name of this router among its peers; null for the name in the platform's configuration
 * @param seeds addresses of some of the peers
 * @param maxClockSkew of a peer from whom values that depend on a clock are accepted
 * @param deadAfter a peer that has been gone for so long counts as one that serves no more
 * @param sessionRoamDelay no session moves to another router sooner than this after its write was answered
 * @param gossipBytesPerSecond that this router sends of its own and of forwarded changes at most
 * @param antiEntropyBytesPerSecond by which a router that was away is brought up to date at most
 * @param logInterval between two summaries in the log
 * @param shareObservations of nodes
 * @param shareEndpointLists changes of the endpoint list
 * @param shareSessionWrites the last write positions of sessions
 * @param shareWriteOutcomes of writes in doubt
 * @param writeOutcomeRetention how long outcomes of writes are kept
 * @param shareQuotas the use of quotas that all routers have together
 */
public record SharingSettings(
        InetSocketAddress listen,
        InetSocketAddress advertise,
        String name,
        List<InetSocketAddress> seeds,
        double maxClockSkew,
        double deadAfter,
        double sessionRoamDelay,
        int gossipBytesPerSecond,
        int antiEntropyBytesPerSecond,
        double logInterval,
        boolean shareObservations,
        boolean shareEndpointLists,
        boolean shareSessionWrites,
        boolean shareWriteOutcomes,
        double writeOutcomeRetention,
        boolean shareQuotas) {
    /** Reachable from this machine only, as datagrams are not authenticated. */
    static final String DEFAULT_LISTEN = "127.0.0.1:7400";

    private static final double SECONDS_PER_DAY = 86_400;
    /** With a greater skew, deleted entries could come back. */
    private static final double MAX_CLOCK_SKEW_LIMIT = 2;
    /** The limit of the packet format. */
    private static final int MAX_NAME_LENGTH = 100;

    /**
     * Reads the table {@code sharing}, whether or not it is enabled.
     *
     * @throws ConfigurationException naming file, line and key
     */
    static SharingSettings read(TomlSection table) throws ConfigurationException {
        InetSocketAddress listen = table.getAddress("listen", DEFAULT_LISTEN);
        InetSocketAddress advertise = table.getAddress("advertise", null);
        String name = table.getString("name", null);
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw table.invalid("listen", "is every address, so that advertise must say which one others send to");
        } else if (advertise != null && advertise.getAddress().isAnyLocalAddress()) {
            throw table.invalid("advertise", "is no address that others can send to");
        } else if (name != null && name.length() > MAX_NAME_LENGTH) {
            throw table.invalid("name", "is longer than " + MAX_NAME_LENGTH + " characters");
        }
        return new SharingSettings(
                listen,
                advertise,
                name,
                table.getAddresses("seeds"),
                table.getNumber("clock_bound", 0.5, 0.01, MAX_CLOCK_SKEW_LIMIT),
                table.getNumber("dead_after", 60, 1, 3600),
                table.getNumber("roam", 0.5, 0, 60),
                table.getInt("bytes_a_second", 128 << 10, 1 << 10, 1 << 30),
                table.getInt("catch_up_bytes_a_second", 4 << 20, 1 << 10, 1 << 30),
                table.getNumber("report", 10, 0.1, 3600),
                table.getBoolean("evidence", true),
                table.getBoolean("lists", true),
                table.getBoolean("marks", true),
                table.getBoolean("fates", true),
                table.getNumber("fates_kept", SECONDS_PER_DAY, 60, 7 * SECONDS_PER_DAY),
                table.getBoolean("limits", true));
    }

    /** Whether they differ in what takes a restart to apply, which is all but the seeds. */
    public boolean differsBeyondSeeds(SharingSettings other) {
        return !equals(new SharingSettings(
                other.listen,
                other.advertise,
                other.name,
                seeds,
                other.maxClockSkew,
                other.deadAfter,
                other.sessionRoamDelay,
                other.gossipBytesPerSecond,
                other.antiEntropyBytesPerSecond,
                other.logInterval,
                other.shareObservations,
                other.shareEndpointLists,
                other.shareSessionWrites,
                other.shareWriteOutcomes,
                other.writeOutcomeRetention,
                other.shareQuotas));
    }
}
