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
        double clockBound,
        double deadAfter,
        double roam,
        int newsBytes,
        int catchUpBytes,
        double report,
        boolean evidence,
        boolean lists,
        boolean marks,
        boolean fates,
        double fatesKept,
        boolean limits) {
    /** What only the machine it stands on can reach, as nothing is signed. */
    static final String LISTEN = "127.0.0.1:7400";
    /** Seconds. */
    private static final double DAY = 86_400;
    /** Beyond, entries could come back after they went. */
    private static final double MOST_CLOCK_BOUND = 2;
    /** What the wire allows of a name. */
    private static final int LONGEST_NAME = 100;

    /** Reads the table {@code sharing}, on or not. Throws BadConfig naming the place. */
    static SharingSettings read(Toml table) throws BadConfig {
        InetSocketAddress listen = table.address("listen", LISTEN);
        InetSocketAddress advertise = table.address("advertise", null);
        String name = table.text("name", null);
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw table.fault("listen", "is every address, so that advertise must say which one others send to");
        } else if (advertise != null && advertise.getAddress().isAnyLocalAddress()) {
            throw table.fault("advertise", "is no address that others can send to");
        } else if (name != null && name.length() > LONGEST_NAME) {
            throw table.fault("name", "is longer than " + LONGEST_NAME + " characters");
        }
        return new SharingSettings(
                listen,
                advertise,
                name,
                table.addresses("seeds"),
                table.number("clock_bound", 0.5, 0.01, MOST_CLOCK_BOUND),
                table.number("dead_after", 60, 1, 3600),
                table.number("roam", 0.5, 0, 60),
                table.whole("bytes_a_second", 128 << 10, 1 << 10, 1 << 30),
                table.whole("catch_up_bytes_a_second", 4 << 20, 1 << 10, 1 << 30),
                table.number("report", 10, 0.1, 3600),
                table.flag("evidence", true),
                table.flag("lists", true),
                table.flag("marks", true),
                table.flag("fates", true),
                table.number("fates_kept", DAY, 60, 7 * DAY),
                table.flag("limits", true));
    }

    /** They differ in what only a start reads: all but the seeds. */
    public boolean unlike(SharingSettings other) {
        return !equals(new SharingSettings(
                other.listen,
                other.advertise,
                other.name,
                seeds,
                other.clockBound,
                other.deadAfter,
                other.roam,
                other.newsBytes,
                other.catchUpBytes,
                other.report,
                other.evidence,
                other.lists,
                other.marks,
                other.fates,
                other.fatesKept,
                other.limits));
    }
}
