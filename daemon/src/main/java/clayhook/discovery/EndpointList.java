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
 * An endpoint list reported by the discovery service: either the complete list or the endpoints that have changed.
 * Immutable.
 *
 * @param version the list version, which increases with each change
 * @param complete whether the list contains all endpoints, so that an endpoint missing from it is gone; if false, the
 *     list contains only the changed endpoints
 */
public record EndpointList(long version, boolean complete, List<DiscoveredEndpoint> endpoints) {
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int MAX_PORT = 0xffff;
    private static final int NO_PORT = 0;

    /**
     * One node of the list.
     *
     * @param primary whether the discovery service reports the node as the primary of its replica set
     * @param startedAt the last start of the node's process in seconds since the Unix epoch; 0 if the service does not
     *     report it, which counts as long ago
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
     * Parses the body of a discovery service response.
     *
     * @throws MalformedEndpointListException if the text is not valid JSON or not an endpoint list; the message names
     *     the invalid part
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
     * Converts a parsed JSON value, which may be part of a larger document, to an endpoint list.
     *
     * @throws MalformedEndpointListException if the value is not an endpoint list; the message names the invalid field
     */
    public static EndpointList fromJson(Object json) {
        // Wire keys and values are translated to the terms of this code only here and in parseEndpoint.
        if (!(json instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)
                || !(map.get("all") instanceof Boolean complete)) {
            throw new MalformedEndpointListException("list of nodes: expected an object with rev, all and targets");
        }
        var endpoints = new ArrayList<DiscoveredEndpoint>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> fields)) {
                throw new MalformedEndpointListException("targets: an entry is not a JSON object");
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
     * Parses a numeric IP address and port; returns null if the text is not one. Host names are not resolved because
     * that would block the calling thread.
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

    /** Parses a port from 1 to 65535; returns 0 if the text is not one. */
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
