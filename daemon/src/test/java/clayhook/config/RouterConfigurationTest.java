package clayhook.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.EndpointListDelivery;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.Role;
import clayhook.json.Json;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RouterConfigurationTest {
    private static final String TEXT =
            """
            {"name":"n3", "listen":"127.0.0.4:6543", "seed":"8c1f30d27a5be964", "limits":{"memory_mb":192,"sockets":1024},
            "known":{"rev":41,"all":true,"targets":[]}, "settings":{"balancers":3,"zone":"a","discovery":"subscribe",
            "domain":{"read_level":["bounded","write"],"max_age":[200000000,0],"when_behind":"wait"},
            "limits":{"most_tries":10,"dial_timeout":250000000},"rules":{"warm_after":18000000000},
            "grades":[{"name":"check","effect":"idempotent","aim":250000000,"hard_limit":600000000,"value":1},
            {"name":"post","effect":"deduplicated","group":"cell","aim":600000000,"hard_limit":5000000000,
            "repeat_window":5000000000,"late_worth":0.5}]}}""";

    private static RouterConfiguration read(String text) throws ConfigurationException {
        return RouterConfiguration.fromJson(Json.parse(text), Map.of("LB_DISCOVERY", "127.0.0.1:8500"));
    }

    /** Guards against pushed lists that are treated as polled ones, since a router on sockets always polls. */
    @ParameterizedTest
    @CsvSource({"automatic, true", "subscribe, false"})
    void deliveryOfTheEndpointListIsRead(String discovery, boolean pushed) throws ConfigurationException {
        String text = TEXT.replace("\"subscribe\"", '"' + discovery + '"')
                .replace("\"warm_after\"", "\"drain_grace\":250000000,\"warm_after\"");
        RouterConfiguration configuration = read(text);
        assertEquals(new EndpointListDelivery(pushed, 0.25), configuration.listDelivery());
        assertTrue(configuration.settings().endpointListMustBePolled());
    }

    @Test
    void changedDeliveryOfTheEndpointListNeedsARestart() throws ConfigurationException {
        RouterConfiguration pushed = read(TEXT.replace("\"subscribe\"", "\"automatic\""));
        assertEquals("settings", pushed.restartOnlyDifferences(read(TEXT)));
    }

    @Test
    void settingsAreReadWithTheirDocumentedKeysAndUnits() throws ConfigurationException {
        RouterConfiguration configuration = read(TEXT);
        assertEquals(
                List.of(
                        new RequestClass(
                                "check",
                                Idempotency.IDEMPOTENT,
                                ConsistencyLevel.BOUNDED_STALENESS,
                                0.25,
                                0.6,
                                1,
                                0,
                                DeduplicationScope.ALL,
                                0,
                                0.2),
                        new RequestClass(
                                "post",
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                ConsistencyLevel.WRITE,
                                0.6,
                                5,
                                1,
                                0.5,
                                DeduplicationScope.REPLICA_SET,
                                5,
                                0)),
                configuration.settings().requestClasses());
        assertEquals(0x8c1f30d27a5be964L, configuration.seed());
        assertEquals(
                List.of(8500, 1024, 0.25, 18.0, true),
                List.of(
                        configuration.discovery().getPort(),
                        configuration.maxDescriptors(),
                        configuration.connectTimeout(),
                        configuration.settings().slowStartSeconds(),
                        configuration.settings().replicasRejectStaleReads()));
    }

    @Test
    void twoThousandNodesAndRoutersAreAccepted() throws ConfigurationException {
        String node =
                ",{\"uid\":\"s\",\"endpoint\":\"127.1.0.1:6543\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"boot_ms\":0}";
        RouterConfiguration configuration = read(TEXT.replace(
                        "\"targets\":[]", "\"targets\":[" + node.repeat(2000).substring(1) + "]")
                .replace("\"balancers\":3", "\"balancers\":2000"));
        assertEquals(
                List.of(2000, 2000),
                List.of(
                        configuration.knownEndpoints().endpoints().size(),
                        configuration.settings().routerCount()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"subscribe", "automatic"})
    void endpointListIsAlwaysPolledOnSockets(String discovery) throws ConfigurationException {
        assertEquals(true, read(TEXT.replace("subscribe", discovery)).settings().endpointListMustBePolled());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"n3\" | 3 | name",
                "127.0.0.4:6543 | 127.0.0.4 | listen",
                "8c1f30d27a5be964 | xyz | seed",
                "\"sockets\":1024 | \"sockets\":0 | limits.sockets",
                "\"rev\":41 | \"rev\":true | known",
                "\"balancers\":3 | \"balancers\":0 | balancers",
                "18000000000 | \"soon\" | rules.warm_after",
                "\"write\" | \"wrote\" | domain.read_level",
                "idempotent | harmless | grades.0.effect",
                "\"cell\" | \"street\" | grades.1.group",
                "\"grades\" | \"gradez\" | settings.grades",
                "\"settings\" | \"setting\" | settings"
            })
    void errorNamesTheInvalidKey(String original, String replacement, String key) {
        assertTrue(TEXT.contains(original));
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> read(TEXT.replace(original, replacement)));
        assertTrue(error.getMessage().startsWith(key + ":"), error.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"n3\" | \"n4\" | name",
                "0.4:6543 | 0.4:6544 | listen",
                "\"memory_mb\":192 | \"memory_mb\":128 | limits",
                "\"idempotent\" | \"at_most_once\" | settings",
                "250000000} | 260000000} | settings",
                "\"rev\":41 | \"rev\":42 | ''",
                "8c1f30d27a5be964 | 1 | ''"
            })
    void changesThatRequireARestartAreNamed(String original, String replacement, String keys)
            throws ConfigurationException {
        assertTrue(TEXT.contains(original));
        assertEquals(keys, read(TEXT).restartOnlyDifferences(read(TEXT.replace(original, replacement))));
    }

    @ParameterizedTest
    @CsvSource({"41, true", "0, false"})
    void nonzeroVersionOfKnownEndpointsIndicatesARestart(String version, boolean restart)
            throws ConfigurationException {
        assertEquals(
                restart, read(TEXT.replace("\"rev\":41", "\"rev\":" + version)).hasServedBefore());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "/nowhere/config.json"})
    void missingFileIsReported(String file) {
        ConfigurationException error = assertThrows(
                ConfigurationException.class, () -> RouterConfiguration.fromEnvironment(Map.of("LB_CONFIG", file)));
        assertTrue(error.getMessage().startsWith("LB_CONFIG:"), error.getMessage());
    }

    @Test
    void everyJsonValueTypeIsParsed() {
        assertEquals(
                Map.of("a", Arrays.asList(1.0, -2.5e3, true, false, null, "x\"\u00e9\n"), "b", Map.of()),
                Json.parse(" {\"a\" : [1, -2.5e3, true,false,null, \"x\\\"\\u00e9\\n\"],\"b\":{}} "));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[1,]",
                "{\"a\":}",
                "{\"a\" 1}",
                "{a:1}",
                "\"x",
                "\"\\q\"",
                "\"\\u12x4\"",
                "1 2",
                "-",
                "nul",
                "\"a\nb\"",
                "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
            })
    void malformedJsonIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> Json.parse(text));
    }

    @Test
    void loadReportIsParsedWithAnyNameOfTheLoadField() {
        assertEquals(new LoadReport(Role.PRIMARY, 12.5, 7), LoadReport.parse("x0=2.5,x1=1,rif=7,busy=0.5", '=', 10));
        assertEquals(new LoadReport(Role.REPLICA, 2.5, 9), LoadReport.parse("x0:2.5,x1:0,inflight:9", ':', 0));
        assertThrows(IllegalArgumentException.class, () -> LoadReport.parse("x0=NaN", '=', 0));
    }
}
