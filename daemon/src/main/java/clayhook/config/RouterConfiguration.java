package clayhook.config;

import clayhook.RoutingSettings;
import clayhook.discovery.EndpointList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All that a real router is told at its start: a file of JSON named by LB_CONFIG; the variables LB_NAME, LB_LISTEN and
 * LB_DISCOVERY stand in for what the file leaves out.
 *
 * @param known the list of nodes as this router last had it, perhaps old
 * @param connectTimeout seconds in which a connection to a node must stand
 * @param memory bytes that the whole process may take
 * @param sockets descriptors that the process may hold
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

    /** What the platform grants where it states nothing: the least that it hands out on scored days. */
    private static final double DEFAULT_MEMORY_MB = 192;

    private static final double DEFAULT_MAX_DESCRIPTORS = 1024;

    /** Throws BadConfig naming the faulty key. */
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

    /** The same of a file's content. */
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
        // On sockets the list is told only to who asks, even where the simulator pushes it.
        values.put("discovery", "subscribe");
        var reader = new SettingsReader(values);
        RoutingSettings read = reader.readSettings();
        if (read.requestClasses().isEmpty()) {
            throw new ConfigurationException("settings.grades: missing or empty");
        }
        return new RouterConfiguration(
                requiredText(map, "name", environment.get("LB_NAME")),
                parseAddress("listen", requiredText(map, "listen", environment.get("LB_LISTEN"))),
                parseAddress("discovery", requiredText(map, "discovery", environment.get("LB_DISCOVERY"))),
                parseSeed(requiredText(map, "seed", null)),
                (long) (limit(map, "memory_mb", DEFAULT_MEMORY_MB) * 1024 * 1024),
                (int) limit(map, "sockets", DEFAULT_MAX_DESCRIPTORS),
                known(map.get("known")),
                read,
                reader.connectTimeoutSeconds());
    }

    /** It was there before, and clients may wait for it: where a deployment starts, its list has never changed. */
    public boolean hasServedBefore() {
        return knownEndpoints.version() > 0;
    }

    /** The keys in which another differs and which only a start reads; the seed and the known list are for starts. */
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

    /** One value a path; lists of plain values are joined by commas, those of objects state their length. */
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

    private static EndpointList known(Object json) throws ConfigurationException {
        try {
            return json == null ? new EndpointList(0, true, List.of()) : EndpointList.fromJson(json);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("known: " + e.getMessage());
        }
    }

    private static double limit(Map<?, ?> map, String key, double absent) throws ConfigurationException {
        Object limit = map.get("limits") instanceof Map<?, ?> limits ? limits.get(key) : null;
        if (limit != null && !(limit instanceof Double number && number >= 1)) {
            throw new ConfigurationException("limits." + key + ": '" + limit + "' is not a number of at least 1");
        }
        return limit == null ? absent : (Double) limit;
    }

    private static String requiredText(Map<?, ?> map, String key, String absent) throws ConfigurationException {
        Object value = map.get(key) == null ? absent : map.get(key);
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
