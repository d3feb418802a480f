package clayhook.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The operator's settings of the state that a router shares with its peers. All times are in seconds. Immutable.
 *
 * @param listen the local address that receives datagrams; port 0 for any free port
 * @param advertise the address to which peers send datagrams; null for the address of {@code listen}
 * @param name the name of this router among its peers; null for the name in the platform's configuration
 * @param seeds the addresses of some of the peers, which this router contacts to join
 * @param maxClockSkew the largest clock skew of a peer at which values that depend on its clock are accepted
 * @param deadAfter the time after which a peer that is gone is assumed to serve no clients any more
 * @param sessionRoamDelay the minimum time between the answer to a session's write and the session's first request at
 *     another router
 * @param gossipBytesPerSecond the maximum rate at which this router sends its own and forwarded changes
 * @param antiEntropyBytesPerSecond the maximum rate at which a router that was disconnected is brought up to date
 * @param logInterval the time between two summaries in the log
 * @param shareObservations whether observations of nodes are shared
 * @param shareEndpointLists whether changes of the endpoint list are shared
 * @param shareSessionWrites whether the last-write positions of sessions are shared
 * @param shareWriteOutcomes whether the outcomes of in-doubt writes are shared
 * @param writeOutcomeRetention the time for which write outcomes are kept
 * @param shareQuotas whether the use of fleet-wide quotas is shared
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
    /** The default of {@code listen}: a loopback address, because datagrams are not authenticated. */
    static final String DEFAULT_LISTEN = "127.0.0.1:7400";

    private static final double SECONDS_PER_DAY = 86_400;
    /** The upper bound of {@code maxClockSkew} in seconds. With a larger skew, deleted entries could reappear. */
    private static final double MAX_CLOCK_SKEW_LIMIT = 2;
    /** The longest router name that the packet format can hold, in characters. */
    private static final int MAX_NAME_LENGTH = 100;

    /**
     * Reads and validates the table {@code sharing}, even if sharing is disabled.
     *
     * @throws ConfigurationException if a value is invalid; the message names file, line and key
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

    /** Whether any setting except the seeds differs. Such a change takes effect only after a restart. */
    public boolean differsExceptInSeeds(SharingSettings other) {
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
