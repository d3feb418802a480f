package clayhook.config;

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
 * The platform's configuration of a router: a JSON file that the environment variable LB_CONFIG names; LB_NAME,
 * LB_LISTEN and LB_DISCOVERY stand in for keys that it lacks. Immutable.
 *
 * @param name of this router, unique in its fleet
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service
 * @param seed of all random draws of this router
 * @param memoryBytes limit of the whole process
 * @param maxDescriptors that the process may hold
 * @param knownEndpoints the endpoint list as this router last had it, perhaps stale
 * @param settings for the routing policy
 * @param connectTimeout of connections to nodes, in seconds
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
        double connectTimeout) {

    /** What the platform grants at least, for a file that states no limits. */
    private static final double DEFAULT_MEMORY_MB = 192;

    private static final double DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final double BYTES_PER_MB = 1024 * 1024;

    /**
     * Reads the file that the environment names.
     *
     * @throws ConfigurationException naming the variable or key that is invalid
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

    /** The same from the parsed content of the file. */
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
        // On sockets the endpoint list must be polled, even where the simulator pushes it.
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
                reader.connectTimeoutSeconds());
    }

    /** Whether this is a restart, for which clients may wait: a new deployment's endpoint list has no version yet. */
    public boolean hasServedBefore() {
        return knownEndpoints.version() > 0;
    }

    /**
     * Names the keys in which another configuration differs and that take a restart to apply, joined by commas; empty
     * for none. The seed and the known endpoints only matter at a start and are not compared.
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
        if (!settings.equals(other.settings) || connectTimeout != other.connectTimeout) {
            keys.add("settings");
        }
        return String.join(", ", keys);
    }

    /** Flattens to one value a path: lists of scalars are joined by commas, those of objects get a count. */
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
