package clayhook.discovery;

import clayhook.Listing.State;
import clayhook.config.Json;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The list of nodes, or what changed in it, as discovery tells it. */
public record NodeList(long version, boolean whole, List<Entry> entries) {

    /** @param startedAt when its process last started, in seconds; 0 for long ago */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            int group,
            State state,
            boolean primary,
            double startedAt) {}

    /** Throws IllegalArgumentException naming what cannot be understood. */
    public static NodeList parse(String text) {
        return of(Json.parse(text));
    }

    /** The same of a part of a larger text. */
    public static NodeList of(Object json) {
        if (!(json instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)
                || !(map.get("all") instanceof Boolean whole)) {
            throw new IllegalArgumentException("a list of nodes needs rev, all and targets");
        }
        var entries = new ArrayList<Entry>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> entry)) {
                throw new IllegalArgumentException("targets: an entry is no object");
            }
            entries.add(entry(entry));
        }
        return new NodeList((long) number(map, "rev"), whole, List.copyOf(entries));
    }

    private static Entry entry(Map<?, ?> entry) {
        State state =
                switch (text(entry, "state")) {
                    case "up" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "removed" -> State.GONE;
                    default -> throw new IllegalArgumentException("state: unknown '" + entry.get("state") + "'");
                };
        return new Entry(
                text(entry, "uid"),
                address(text(entry, "endpoint")),
                text(entry, "az"),
                (int) number(entry, "pod_group"),
                state,
                "primary".equals(entry.get("role")),
                entry.containsKey("boot_ms") ? number(entry, "boot_ms") / 1000 : 0);
    }

    private static InetSocketAddress address(String endpoint) {
        InetSocketAddress address = numeric(endpoint);
        if (address == null) {
            throw new IllegalArgumentException("endpoint: '" + endpoint + "' is no address and port");
        }
        return address;
    }

    /** An address and port in figures; null for what is none. Names are not looked up: that would hold up who asks. */
    public static InetSocketAddress numeric(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        int port = port(text.substring(colon + 1));
        try {
            return host == null || port == 0 ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** 0 for what is no port. */
    public static int port(String text) {
        try {
            int port = Integer.parseInt(text);
            return port > 0xffff ? 0 : Math.max(0, port);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static String text(Map<?, ?> entry, String key) {
        if (entry.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException(key + " is missing or no text");
    }

    private static double number(Map<?, ?> entry, String key) {
        if (entry.get(key) instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException(key + " is missing or no number");
    }
}
