package clayhook.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a router shares with others, as the operator's file says. Times are seconds.
 *
 * @param listen where datagrams come in; port 0 for any that is free
 * @param advertise where others send them to; null for the address listened at
 * @param name told to the others; null for the router's own
 * @param seeds where some of the others listen
 * @param clockBound a router whose clock is off by more is heard only for what needs no clock
 * @param deadAfter a router that is gone for so long counts as one that serves no more
 * @param roam no session comes to another router sooner than this after its write was answered
 * @param newsBytes a second that this router sends of its news and what it passes on, at most
 * @param catchUpBytes a second that a router which was away is brought up by, at most
 * @param report between two lines of figures in the log
 * @param evidence what was seen of nodes
 * @param lists news of the node list
 * @param marks last writes of sessions
 * @param fates of writes in doubt; kept for {@code fatesKept}
 * @param limits use of limits that hold for all routers together
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
    /** What only the machine it stands on can reach, as nothing is signed. */
    static final String DEFAULT_LISTEN = "127.0.0.1:7400";
    /** Seconds. */
    private static final double SECONDS_PER_DAY = 86_400;
    /** Beyond, entries could come back after they went. */
    private static final double MAX_CLOCK_SKEW_LIMIT = 2;
    /** What the wire allows of a name. */
    private static final int MAX_NAME_LENGTH = 100;

    /** Reads the table {@code sharing}, on or not. Throws BadConfig naming the place. */
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

    /** They differ in what only a start reads: all but the seeds. */
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
