package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;

/**
 * How much one life of a router has used of a limit that all routers share; the key is the limit, the router and its
 * boot, so that only that router writes it and a restart never counts twice.
 *
 * @param total units since its boot; only grows
 * @param rate units a second over the limit's window before {@code at}
 * @param at when the router told so, seconds since 1970 on its clock
 */
public record Use(double total, double rate, double at) {
    /** Probes that routers send. */
    public static final String PROBES = "probes";
    /** Repeats and second copies, out of the store of extras. */
    public static final String REPEATS = "repeats";
    /** Bytes of the name of a limit. */
    static final int LONGEST_LIMIT = 100;
    /** Units beyond any limit. */
    private static final double MOST = 1e15;

    public static final ReplicatedType<Use> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 5;
        }

        @Override
        public String name() {
            return "use";
        }

        @Override
        public Use merge(Use a, Use b) {
            int later = a.at != b.at ? Double.compare(a.at, b.at) : Double.compare(a.rate, b.rate);
            Use rate = later >= 0 ? a : b;
            return new Use(Math.max(a.total, b.total), rate.rate, rate.at);
        }

        @Override
        public double timestamp(Use value) {
            return value.at;
        }

        /**
         * Seconds: more than two windows of any limit, after which what a router that vanished has used counts no more.
         */
        @Override
        public double retentionSeconds() {
            return 60;
        }

        /**
         * A thousand routers with the two standing limits and some thirty cold nodes; at the bound the longest untold
         * go.
         */
        @Override
        public int maxEntries() {
            return 32_768;
        }

        @Override
        public void write(Use value, FieldWriter out) {
            out.writeDouble(value.total).writeDouble(value.rate).writeDouble(value.at);
        }

        @Override
        public Use read(FieldReader in) {
            return new Use(in.readDouble(), in.readDouble(), in.readDouble());
        }
    };

    public Use {
        total = Check.within(total, MOST, "use");
        rate = Check.within(rate, MOST, "rate");
        at = Check.time(at);
    }

    /** Work sent to a node while it is cold, in that life of it; in seconds of a core. */
    public static String cold(String node, double nodeStart) {
        return "cold " + Keys.name(node) + " " + nodeStart;
    }

    /** {@code limit}: the name of a {@link Shares.Limit}. */
    static String key(String limit, Member member) {
        return Keys.of(limit, Keys.name(member.name()), Long.toString(member.incarnation()));
    }

    /** The limit within a key, and whose use it is; null where another release made the key. */
    static Owner owner(String key) {
        List<String> parts = Keys.parts(key);
        try {
            return parts.size() != 3
                    ? null
                    : new Owner(parts.get(0), new Member(parts.get(1), Long.parseLong(parts.get(2))));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** @param member its name as keys have it */
    record Owner(String limit, Member member) {}
}
