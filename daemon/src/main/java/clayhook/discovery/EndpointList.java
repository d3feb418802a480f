package clayhook.discovery;

import clayhook.Endpoint.State;
import clayhook.json.Json;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The endpoint list, or what changed in it, as the discovery service reports it. Immutable.
 *
 * @param version grows with each change
 * @param complete whether it holds all endpoints, so that one that is missing is gone; else it holds those that changed
 */
public record EndpointList(long version, boolean complete, List<DiscoveredEndpoint> endpoints) {
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int MAX_PORT = 0xffff;
    private static final int NO_PORT = 0;

    /**
     * One node of the list.
     *
     * @param primary whether the service takes it for the primary of its replica set
     * @param startedAt when its process last started, in seconds since 1970; 0 for long ago
     */
    public record DiscoveredEndpoint(
            String id,
            InetSocketAddress address,
            String zone,
            int replicaSetId,
            State state,
            boolean primary,
            double startedAt) {}

    /**
     * Parses an answer of the discovery service.
     *
     * @throws MalformedEndpointListException naming what cannot be understood
     */
    public static EndpointList parse(String text) {
        Object json;
        try {
            json = Json.parse(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
        return fromJson(json);
    }

    /**
     * Reads a list that is part of a larger JSON text.
     *
     * @throws MalformedEndpointListException naming what cannot be understood
     */
    public static EndpointList fromJson(Object json) {
        // The keys and values of the wire are mapped to this project's terms here and in parseEndpoint alone.
        if (!(json instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)
                || !(map.get("all") instanceof Boolean complete)) {
            throw new MalformedEndpointListException("a list of nodes needs rev, all and targets");
        }
        var endpoints = new ArrayList<DiscoveredEndpoint>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> fields)) {
                throw new MalformedEndpointListException("targets: an entry is no object");
            }
            endpoints.add(parseEndpoint(fields));
        }
        return new EndpointList((long) requireNumber(map, "rev"), complete, List.copyOf(endpoints));
    }

    private static DiscoveredEndpoint parseEndpoint(Map<?, ?> fields) {
        State state = parseState(requireText(fields, "state"));
        return new DiscoveredEndpoint(
                requireText(fields, "uid"),
                requireAddress(requireText(fields, "endpoint")),
                requireText(fields, "az"),
                (int) requireNumber(fields, "pod_group"),
                state,
                "primary".equals(fields.get("role")),
                fields.containsKey("boot_ms") ? requireNumber(fields, "boot_ms") / MILLIS_PER_SECOND : 0);
    }

    private static State parseState(String text) {
        return switch (text) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.GONE;
            default -> throw new MalformedEndpointListException("state: unknown '" + text + "'");
        };
    }

    private static InetSocketAddress requireAddress(String text) {
        InetSocketAddress address = parseAddress(text);
        if (address == null) {
            throw new MalformedEndpointListException("endpoint: '" + text + "' is no address and port");
        }
        return address;
    }

    /**
     * Parses a numeric IP address and port; null for what is none. Names are not resolved, as that would block the
     * caller's thread.
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        int port = parsePort(text.substring(colon + 1));
        try {
            return host == null || port == NO_PORT ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** Parses a port, 1 to 65535; 0 for what is none. */
    public static int parsePort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port > MAX_PORT ? NO_PORT : Math.max(NO_PORT, port);
        } catch (NumberFormatException e) {
            return NO_PORT;
        }
    }

    private static String requireText(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new MalformedEndpointListException(key + " is missing or no text");
    }

    private static double requireNumber(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof Double number) {
            return number;
        }
        throw new MalformedEndpointListException(key + " is missing or no number");
    }
}
