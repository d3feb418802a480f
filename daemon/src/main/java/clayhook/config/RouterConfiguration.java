package clayhook.config;

import clayhook.EndpointListDelivery;
import clayhook.RoutingSettings;
import clayhook.discovery.EndpointList;
import clayhook.json.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's configuration of a router, a JSON file whose path is in the environment variable LB_CONFIG. LB_NAME,
 * LB_LISTEN and LB_DISCOVERY provide the keys {@code name}, {@code listen} and {@code discovery} if the file lacks
 * them. Immutable.
 *
 * @param name the name of this router, unique in its fleet
 * @param listen the address to which clients connect
 * @param discovery the address of the discovery service
 * @param seed the seed of this router's random number generators
 * @param memoryBytes the memory limit of the whole process
 * @param maxDescriptors the limit of the process on open file descriptors
 * @param knownEndpoints the endpoint list that this router received last, possibly stale
 * @param settings the settings of the routing policy
 * @param connectTimeout the timeout of connecting to a node, in seconds
 * @param listDelivery how changes of the endpoint list reach this router
 */
public record RouterConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        long memoryBytes,
        int maxDescriptors,
        EndpointList knownEndpoints,
        RoutingSettings settings,
        double connectTimeout,
        EndpointListDelivery listDelivery) {

    /** The minimum that the platform grants; applies if the file sets no memory limit. */
    private static final double DEFAULT_MEMORY_MB = 192;

    /** The minimum that the platform grants; applies if the file sets no limit on descriptors. */
    private static final double DEFAULT_MAX_DESCRIPTORS = 1024;

    private static final double BYTES_PER_MB = 1024 * 1024;

    /** Creates a configuration of a router whose endpoint list is polled. */
    public RouterConfiguration(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            long memoryBytes,
            int maxDescriptors,
            EndpointList knownEndpoints,
            RoutingSettings settings,
            double connectTimeout) {
        this(
                name,
                listen,
                discovery,
                seed,
                memoryBytes,
                maxDescriptors,
                knownEndpoints,
                settings,
                connectTimeout,
                EndpointListDelivery.POLLED);
    }

    /**
     * Reads the file that the environment variable LB_CONFIG names.
     *
     * @throws ConfigurationException if the configuration is invalid; the message names the variable or the key
     */
    public static RouterConfiguration fromEnvironment(Map<String, String> environment) throws ConfigurationException {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigurationException("LB_CONFIG: not set; it names the file of the configuration");
        }
        try {
            return fromJson(Json.parse(Files.readString(Path.of(file))), environment);
        } catch (IOException e) {
            throw new ConfigurationException("LB_CONFIG: cannot read " + file);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("LB_CONFIG: " + file + " is no JSON: " + e.getMessage());
        }
    }

    /**
     * Creates a configuration from the parsed content of the file.
     *
     * @throws ConfigurationException if the configuration is invalid; the message names the key
     */
    public static RouterConfiguration fromJson(Object json, Map<String, String> environment)
            throws ConfigurationException {
        if (!(json instanceof Map<?, ?> map)) {
            throw new ConfigurationException("LB_CONFIG: the file holds no object");
        }
        if (!(map.get("settings") instanceof Map<?, ?> settings)) {
            throw new ConfigurationException("settings: missing or no object");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        boolean pushed = "automatic".equals(values.get("discovery"));
        // On sockets a router always has to poll, even where what it could have received counts as notified.
        values.put("discovery", "subscribe");
        var reader = new SettingsReader(values);
        RoutingSettings routingSettings = reader.readSettings();
        if (routingSettings.requestClasses().isEmpty()) {
            throw new ConfigurationException("settings.grades: missing or empty");
        }
        return new RouterConfiguration(
                requiredText(map, "name", environment.get("LB_NAME")),
                parseAddress("listen", requiredText(map, "listen", environment.get("LB_LISTEN"))),
                parseAddress("discovery", requiredText(map, "discovery", environment.get("LB_DISCOVERY"))),
                parseSeed(requiredText(map, "seed", null)),
                (long) (limit(map, "memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB),
                (int) limit(map, "sockets", DEFAULT_MAX_DESCRIPTORS),
                parseKnownEndpoints(map.get("known")),
                routingSettings,
                reader.connectTimeoutSeconds(),
                new EndpointListDelivery(pushed, reader.drainGraceSeconds()));
    }

    /**
     * Whether this router has served before, so that this start is a restart and clients may be waiting for it. The
     * endpoint list of a new deployment still has version 0.
     */
    public boolean hasServedBefore() {
        return knownEndpoints.version() > 0;
    }

    /**
     * Returns the keys whose values differ from those of another configuration and take effect only after a restart,
     * separated by commas; empty if there are none. The seed and the known endpoints are used only at startup and are
     * not compared.
     */
    public String restartOnlyDifferences(RouterConfiguration other) {
        var keys = new ArrayList<String>();
        if (!name.equals(other.name)) {
            keys.add("name");
        }
        if (!listen.equals(other.listen)) {
            keys.add("listen");
        }
        if (memoryBytes != other.memoryBytes || maxDescriptors != other.maxDescriptors) {
            keys.add("limits");
        }
        if (!settings.equals(other.settings)
                || connectTimeout != other.connectTimeout
                || !listDelivery.equals(other.listDelivery)) {
            keys.add("settings");
        }
        return String.join(", ", keys);
    }

    /**
     * Flattens a JSON value into one entry for each path. A list of scalars becomes one entry, joined by commas; a list
     * of objects gets an additional entry {@code PATH.count}.
     */
    private static void flatten(String path, Object json, Map<String, String> values) {
        if (json instanceof Map<?, ?> map) {
            String start = path.isEmpty() ? "" : path + ".";
            map.forEach((name, value) -> flatten(start + name, value, values));
        } else if (json instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
            values.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), values);
            }
        } else if (json instanceof List<?> list) {
            values.put(
                    path,
                    String.join(
                            ",",
                            list.stream().map(RouterConfiguration::scalarText).toList()));
        } else if (json != null) {
            values.put(path, scalarText(json));
        }
    }

    private static String scalarText(Object json) {
        return json == null ? "" : json.toString();
    }

    private static EndpointList parseKnownEndpoints(Object json) throws ConfigurationException {
        try {
            return json == null ? new EndpointList(0, true, List.of()) : EndpointList.fromJson(json);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("known: " + e.getMessage());
        }
    }

    private static double limit(Map<?, ?> map, String key, double defaultValue) throws ConfigurationException {
        Object limit = map.get("limits") instanceof Map<?, ?> limits ? limits.get(key) : null;
        if (limit != null && !(limit instanceof Double number && number >= 1)) {
            throw new ConfigurationException("limits." + key + ": '" + limit + "' is not a number of at least 1");
        }
        return limit == null ? defaultValue : (Double) limit;
    }

    private static String requiredText(Map<?, ?> map, String key, String defaultValue) throws ConfigurationException {
        Object value = map.get(key) == null ? defaultValue : map.get(key);
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(key + ": missing or no text");
    }

    private static InetSocketAddress parseAddress(String key, String text) throws ConfigurationException {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? 0 : EndpointList.parsePort(text.substring(colon + 1));
        if (port == 0) {
            throw new ConfigurationException(key + ": '" + text + "' is no address and port");
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static long parseSeed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed: '" + text + "' is not a number of up to 16 hex digits");
        }
    }
}
