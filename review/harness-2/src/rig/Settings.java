package rig;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of a small deployment, as nested JSON with times in nanoseconds. */
public final class Settings {
    private final List<String> groups = new ArrayList<>();
    private final List<String> levels = new ArrayList<>();
    private final List<String> ages = new ArrayList<>();
    private final Map<String, String> domain = new LinkedHashMap<>();
    private final Map<String, String> limits = new LinkedHashMap<>();
    private final Map<String, String> rules = new LinkedHashMap<>();
    private String discovery = "subscribe";
    private String report = "{\"how\":\"off\",\"fields\":[]}";

    /** Creates settings without command groups, with the values of the example of the wire's page. */
    public Settings() {
        domain.put("catch_up_wait", "50000000");
        domain.put("role_listed", "\"late\"");
        domain.put("synchronous", "false");
        domain.put("tells_position", "true");
        domain.put("when_behind", "\"wait\"");
        domain.put("write_marks", "\"carried\"");
        limits.put("conn_idle", nanos(15));
        limits.put("dial_timeout", nanos(0.25));
        limits.put("max_retry_after", nanos(2));
        limits.put("may_cancel", "true");
        limits.put("most_tries", "10");
        limits.put("multiplex", "1");
        limits.put("open_cap", "20000");
        limits.put("parallel_tries", "true");
        limits.put("peers", "false");
        limits.put("probing", "true");
        limits.put("retry_after", "false");
        rules.put("answer_slack", nanos(0.02));
        rules.put("ask_within", nanos(10));
        rules.put("drain_grace", nanos(0.25));
        rules.put("overload_factor", "3.0");
        rules.put("overload_for", nanos(3));
        rules.put("start_capacity", "0.29");
        rules.put("warm_after", nanos(18));
    }

    /** A time in seconds as it stands in the settings. */
    public static String nanos(double seconds) {
        return Long.toString(Math.round(seconds * 1e9));
    }

    /** Adds a command group; the times are in seconds. */
    public Settings group(
            String name, String effect, String scope, double aim, double limit, double lateWorth, double window, String level, double maxAge) {
        groups.add("{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + scope + "\",\"aim\":" + nanos(aim)
                + ",\"hard_limit\":" + nanos(limit) + ",\"late_worth\":" + lateWorth + ",\"repeat_window\":" + nanos(window)
                + ",\"stream\":false,\"value\":1.0}");
        levels.add('"' + level + '"');
        ages.add(nanos(maxAge));
        return this;
    }

    /** Sets how changes of the list come: {@code automatic} where they are pushed, or {@code subscribe}. */
    public Settings discovery(String how) {
        discovery = how;
        return this;
    }

    public Settings domain(String name, String json) {
        domain.put(name, json);
        return this;
    }

    public Settings limit(String name, String json) {
        limits.put(name, json);
        return this;
    }

    public Settings rule(String name, String json) {
        rules.put(name, json);
        return this;
    }

    /** Sets how load reports come, and their fields. */
    public Settings report(String how, String... fields) {
        report = "{\"how\":\"" + how + "\",\"fields\":[\"" + String.join("\",\"", fields) + "\"]}";
        return this;
    }

    private static String object(Map<String, String> values) {
        var out = new StringBuilder("{");
        values.forEach((name, json) -> out.append(out.length() == 1 ? "" : ",").append('"').append(name).append("\":").append(json));
        return out.append('}').toString();
    }

    /** The settings for a router that stands alone or beside others in one zone. */
    public String json(int routers) {
        var all = new LinkedHashMap<>(domain);
        all.put("max_age", "[" + String.join(",", ages) + "]");
        all.put("read_level", "[" + String.join(",", levels) + "]");
        return "{\"balancers\":" + routers + ",\"me\":0,\"clients\":{\"marks_retry\":false},\"dcs\":[\"north\"],"
                + "\"zone\":\"north\",\"discovery\":\"" + discovery + "\",\"family\":\"replicas\",\"models\":[\"std\"],"
                + "\"tenants\":[],\"domain\":" + object(all) + ",\"grades\":[" + String.join(",", groups) + "],\"limits\":"
                + object(limits) + ",\"report\":" + report + ",\"rules\":" + object(rules) + "}";
    }
}
