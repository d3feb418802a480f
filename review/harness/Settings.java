/** The settings of a small deployment, with the figures of the operators' pages. */
final class Settings {
    private Settings() {}

    static String text(int routers, String dropWindowNanos) {
        return "{\"balancers\":" + routers + ",\"clients\":{\"marks_retry\":true},\"dcs\":[\"a\"],\"zone\":\"a\","
                + "\"discovery\":\"subscribe\",\"family\":\"replicas\","
                + "\"domain\":{\"catch_up_wait\":50000000,\"max_age\":[200000000,0,0],\"read_level\":"
                + "[\"bounded\",\"any\",\"write\"],\"role_listed\":\"late\",\"synchronous\":false,"
                + "\"tells_position\":true,\"when_behind\":\"wait\",\"write_marks\":\"carried\"},"
                + "\"grades\":["
                + grade("tag-check", 250, 600, "idempotent", 0.0, dropWindowNanos) + ","
                + grade("rate-lookup", 250, 750, "idempotent", 0.0, dropWindowNanos) + ","
                + grade("toll-post", 600, 5000, "deduplicated", 0.5, dropWindowNanos) + "],"
                + "\"limits\":{\"may_cancel\":true,\"conn_idle\":15000000000,\"dial_timeout\":250000000,"
                + "\"most_tries\":10,\"max_retry_after\":2000000000,\"probing\":true,\"retry_after\":false,"
                + "\"parallel_tries\":true,\"multiplex\":1,\"open_cap\":20000},"
                + "\"report\":{\"fields\":[\"x0\",\"x1\",\"rif\"],\"how\":\"inline\"},"
                + "\"rules\":{\"answer_slack\":20000000,\"ask_within\":10000000000,\"start_capacity\":0.29,"
                + "\"warm_after\":18000000000,\"drain_grace\":250000000,\"overload_factor\":3.0,"
                + "\"overload_for\":3000000000}}";
    }

    private static String grade(
            String name, int aimMs, int limitMs, String effect, double late, String dropWindowNanos) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aimMs + "000000,\"hard_limit\":" + limitMs
                + "000000,\"effect\":\"" + effect + "\",\"group\":\"cell\",\"late_worth\":" + late
                + ",\"repeat_window\":" + dropWindowNanos + ",\"value\":1.0,\"stream\":false}";
    }
}
