package clayhook.discovery;

import clayhook.Endpoint.State;
import clayhook.config.Json;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The list of nodes, or what changed in it, as discovery tells it. */
public record EndpointList(long version, boolean complete, List<DiscoveredEndpoint> endpoints) {

    /** @param startedAt when its process last started, in seconds; 0 for long ago */
    public record DiscoveredEndpoint(
            String id,
            InetSocketAddress address,
            String zone,
            int replicaSetId,
            State state,
            boolean primary,
            double startedAt) {}

    /** Throws IllegalArgumentException naming what cannot be understood. */
    public static EndpointList parse(String text) {
        return fromJson(Json.parse(text));
    }

    /** The same of a part of a larger text. */
    public static EndpointList fromJson(Object json) {
        if (!(json instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)
                || !(map.get("all") instanceof Boolean whole)) {
            throw new IllegalArgumentException("a list of nodes needs rev, all and targets");
        }
        var entries = new ArrayList<DiscoveredEndpoint>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> entry)) {
                throw new IllegalArgumentException("targets: an entry is no object");
            }
            entries.add(parseEndpoint(entry));
        }
        return new EndpointList((long) requireNumber(map, "rev"), whole, List.copyOf(entries));
    }

    private static DiscoveredEndpoint parseEndpoint(Map<?, ?> entry) {
        State state =
                switch (requireText(entry, "state")) {
                    case "up" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "removed" -> State.GONE;
                    default -> throw new IllegalArgumentException("state: unknown '" + entry.get("state") + "'");
                };
        return new DiscoveredEndpoint(
                requireText(entry, "uid"),
                requireAddress(requireText(entry, "endpoint")),
                requireText(entry, "az"),
                (int) requireNumber(entry, "pod_group"),
                state,
                "primary".equals(entry.get("role")),
                entry.containsKey("boot_ms") ? requireNumber(entry, "boot_ms") / 1000 : 0);
    }

    private static InetSocketAddress requireAddress(String endpoint) {
        InetSocketAddress address = parseAddress(endpoint);
        if (address == null) {
            throw new IllegalArgumentException("endpoint: '" + endpoint + "' is no address and port");
        }
        return address;
    }

    /** An address and port in figures; null for what is none. Names are not looked up: that would hold up who asks. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        int port = parsePort(text.substring(colon + 1));
        try {
            return host == null || port == 0 ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** 0 for what is no port. */
    public static int parsePort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port > 0xffff ? 0 : Math.max(0, port);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static String requireText(Map<?, ?> entry, String key) {
        if (entry.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException(key + " is missing or no text");
    }

    private static double requireNumber(Map<?, ?> entry, String key) {
        if (entry.get(key) instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException(key + " is missing or no number");
    }
}
