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
public record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        long memory,
        int sockets,
        EndpointList known,
        RoutingSettings settings,
        double connectTimeout) {

    /** What the platform grants where it states nothing: the least that it hands out on scored days. */
    private static final double MEMORY_MB = 192;

    private static final double SOCKETS = 1024;

    /** Throws BadConfig naming the faulty key. */
    public static Configuration read(Map<String, String> environment) throws BadConfig {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new BadConfig("LB_CONFIG: not set; it names the file of the configuration");
        }
        try {
            return of(Json.parse(Files.readString(Path.of(file))), environment);
        } catch (IOException e) {
            throw new BadConfig("LB_CONFIG: cannot read " + file);
        } catch (IllegalArgumentException e) {
            throw new BadConfig("LB_CONFIG: " + file + " is no JSON: " + e.getMessage());
        }
    }

    /** The same of a file's content. */
    public static Configuration of(Object json, Map<String, String> environment) throws BadConfig {
        if (!(json instanceof Map<?, ?> map)) {
            throw new BadConfig("LB_CONFIG: the file holds no object");
        }
        if (!(map.get("settings") instanceof Map<?, ?> settings)) {
            throw new BadConfig("settings: missing or no object");
        }
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        // On sockets the list is told only to who asks, even where the simulator pushes it.
        values.put("discovery", "subscribe");
        var reader = new SettingsReader(values);
        RoutingSettings read = reader.settings();
        if (read.requestClasses().isEmpty()) {
            throw new BadConfig("settings.grades: missing or empty");
        }
        return new Configuration(
                text(map, "name", environment.get("LB_NAME")),
                address("listen", text(map, "listen", environment.get("LB_LISTEN"))),
                address("discovery", text(map, "discovery", environment.get("LB_DISCOVERY"))),
                seed(text(map, "seed", null)),
                (long) (limit(map, "memory_mb", MEMORY_MB) * 1024 * 1024),
                (int) limit(map, "sockets", SOCKETS),
                known(map.get("known")),
                read,
                reader.connectTimeout());
    }

    /** It was there before, and clients may wait for it: where a deployment starts, its list has never changed. */
    public boolean awaited() {
        return known.version() > 0;
    }

    /** The keys in which another differs and which only a start reads; the seed and the known list are for starts. */
    public String unlike(Configuration other) {
        var keys = new ArrayList<String>();
        if (!name.equals(other.name)) {
            keys.add("name");
        }
        if (!listen.equals(other.listen)) {
            keys.add("listen");
        }
        if (memory != other.memory || sockets != other.sockets) {
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
                    String.join(",", list.stream().map(Configuration::plain).toList()));
        } else if (json != null) {
            values.put(path, plain(json));
        }
    }

    private static String plain(Object json) {
        return json == null ? "" : json.toString();
    }

    private static EndpointList known(Object json) throws BadConfig {
        try {
            return json == null ? new EndpointList(0, true, List.of()) : EndpointList.fromJson(json);
        } catch (IllegalArgumentException e) {
            throw new BadConfig("known: " + e.getMessage());
        }
    }

    private static double limit(Map<?, ?> map, String key, double absent) throws BadConfig {
        Object limit = map.get("limits") instanceof Map<?, ?> limits ? limits.get(key) : null;
        if (limit != null && !(limit instanceof Double number && number >= 1)) {
            throw new BadConfig("limits." + key + ": '" + limit + "' is not a number of at least 1");
        }
        return limit == null ? absent : (Double) limit;
    }

    private static String text(Map<?, ?> map, String key, String absent) throws BadConfig {
        Object value = map.get(key) == null ? absent : map.get(key);
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new BadConfig(key + ": missing or no text");
    }

    private static InetSocketAddress address(String key, String text) throws BadConfig {
        int colon = text.lastIndexOf(':');
        int port = colon < 1 ? 0 : EndpointList.parsePort(text.substring(colon + 1));
        if (port == 0) {
            throw new BadConfig(key + ": '" + text + "' is no address and port");
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static long seed(String text) throws BadConfig {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadConfig("seed: '" + text + "' is not a number of up to 16 hex digits");
        }
    }
}
