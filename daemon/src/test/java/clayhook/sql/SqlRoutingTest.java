package clayhook.sql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.Idempotency;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.config.OperatorConfigurationReader;
import clayhook.discovery.EndpointList;
import clayhook.protocol.Encoder;
import clayhook.rehearsal.StubDiscovery;
import clayhook.serve.Server;
import clayhook.sql.SqlNode.Deed;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Statements of any kind through the whole router on loopback, between nodes that log what they ran. */
class SqlRoutingTest {
    private static final String RULES =
            """
            [statements]
            enabled = true
            trust_comments = true
            read_group = "any"
            write_group = "mutating"
            [statements.database]
            writes = ["post_toll"]
            [[statements.rule]]
            name = "posts"
            class = "write"
            relations = ["posts"]
            mark = "id"
            group = "write"
            """;
    private final Transport transport = Transport.tcp();
    private final Transport own = Transport.tcp();
    private final List<SqlNode> nodes = new ArrayList<>();

    @TempDir
    Path folder;

    private Server server;

    private static RequestClass group(String name, Idempotency effect, ConsistencyLevel level, double timeout) {
        return new RequestClass(name, effect, level, timeout / 2, timeout, 1, 0, DeduplicationScope.REPLICA_SET, 60, 0);
    }

    private void start(Function<String, Deed> primary, Function<String, Deed> replica) throws Exception {
        start(RULES, primary, replica);
    }

    private void start(String rules, Function<String, Deed> primary, Function<String, Deed> replica) throws Exception {
        nodes.add(new SqlNode(transport, "primary", primary));
        nodes.add(new SqlNode(transport, "replica", replica));
        nodes.add(new SqlNode(transport, "replica", replica));
        var entries = new ArrayList<String>();
        for (SqlNode node : nodes) {
            entries.add("{\"uid\":\"n" + entries.size() + "\",\"endpoint\":\"127.0.0.1:"
                    + node.address().getPort()
                    + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\""
                    + (entries.isEmpty() ? "primary" : "replica") + "\",\"boot_ms\":0}");
        }
        var discovery = new StubDiscovery(transport, transport.spare(0), call -> null);
        List<RequestClass> groups = List.of(
                group("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, 8),
                group("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE, 8),
                group("mutating", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE, 8));
        var settings = new RoutingSettings(
                1, "a", groups, true, true, false, true, true, true, true, true, 1, 9, 0.2, 10, 3, 3, 1, 15);
        Path file = folder.resolve("clayhook.toml");
        Files.writeString(file, rules);
        server = new Server(
                own,
                new RouterConfiguration(
                        "test",
                        transport.spare(0),
                        discovery.address(),
                        1,
                        1 << 27,
                        1024,
                        EndpointList.parse("{\"rev\":2,\"all\":true,\"targets\":[" + String.join(",", entries) + "]}"),
                        settings,
                        2),
                OperatorConfigurationReader.read(file, groups));
    }

    private SqlClient client(String... parameters) throws IOException {
        var client = new SqlClient(server.address(), parameters);
        assertEquals("", client.answer());
        return client;
    }

    @AfterEach
    void close() {
        server.close();
        transport.close();
    }

    private static Function<String, Deed> always(Deed deed) {
        return any -> deed;
    }

    private int runs(String text) {
        return (int) nodes.stream()
                .flatMap(node -> node.ran.stream())
                .filter(text::equals)
                .count();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "select a, b from t|TDDC(SELECT 2)|false",
                "delete from t|C(DELETE 3)|true",
                "select post_toll(1)|C(DELETE 3)|true",
                "select 1; select 2|C(DELETE 3)|true",
                "explain analyze delete from t|C(DELETE 3)|true",
                "select 1 /* id=1,c=any,d=30000,cluster=1 */|TDDC(SELECT 2)|false",
                "delete from t /* id=1,c=any,d=30000,cluster=1 */|C(DELETE 3)|true",
                "select 1 /* id=1,c=mutating,d=30000,cluster=1 */|C(DELETE 3)|true"
            })
    void aStatementGoesWhereItMayRunAndItsAnswerComesWhole(String text, String answer, boolean primary)
            throws Exception {
        start(always(Deed.tag("DELETE 3")), always(Deed.rows("x", "y")));
        try (SqlClient client = client()) {
            assertEquals(answer, client.ask(text));
            assertEquals(1, runs(text));
            assertEquals(primary ? 1 : 0, nodes.get(0).ran.size());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "begin",
                "copy t from stdin",
                "set search_path = x",
                "select pg_advisory_lock(1)",
                "listen c",
                "create temp table x (a int)",
                "set session characteristics as transaction read only",
                "select 1 /* id=1,c=any,d=x,cluster=1 */",
                "select 1 /* id=1,c=any,d=1,cluster=9 */"
            })
    void whatCannotBeSharedIsRefusedAndComesToNoNode(String text) throws Exception {
        start(always(Deed.tag("X")), always(Deed.tag("X")));
        try (SqlClient client = client()) {
            String answer = client.ask(text);
            assertTrue(answer.matches("E\\((0A000|42601)\\)"), answer);
            assertEquals("C(X)", client.ask("select 1"));
            assertEquals(0, runs(text));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "42P01, E(42P01), 1",
        "23505, E(23505), 1",
        "57014, E(57014), 1",
        "XX000, E(XX000), 1",
        "53300, C(OK), 2"
    })
    void anErrorReachesTheClientWithItsCodeAndAWriteThatMayHaveRunIsNotRepeated(String code, String answer, int sends)
            throws Exception {
        var sent = new AtomicInteger();
        start(text -> sent.incrementAndGet() == 1 ? Deed.error(code) : Deed.tag("OK"), always(Deed.tag("R")));
        try (SqlClient client = client()) {
            assertEquals(answer, client.ask("delete from t"));
            assertEquals(sends, sent.get());
        }
    }

    /** A procedure may have ended transactions before its error. */
    @Test
    void aProcedureThatEndsInARefusalMayHaveRun() throws Exception {
        var sent = new AtomicInteger();
        start(text -> sent.incrementAndGet() == 1 ? Deed.error("53300") : Deed.tag("OK"), always(Deed.tag("R")));
        try (SqlClient client = client()) {
            assertEquals("E(40003)", client.ask("call p()"));
            assertEquals(1, sent.get());
        }
    }

    @Test
    void aKeyedWriteIsRepeatedAndOthersAreNot() throws Exception {
        var seen = ConcurrentHashMap.<String>newKeySet();
        start(
                text -> seen.add(text) ? new Deed(Deed.Kind.RESET_AFTER, null, null) : Deed.tag("OK"),
                always(Deed.tag("R")));
        try (SqlClient client = client()) {
            assertEquals("C(OK)", client.ask("insert into posts (id, a) values (1, 2)"));
            assertEquals("E(40003)", client.ask("insert into other (id, a) values (1, 2)"));
            assertEquals("E(40003)", client.ask("insert into posts (id, a) values (1, 2), (3, 4)"));
            assertEquals(2, runs("insert into posts (id, a) values (1, 2)"));
        }
    }

    /** A view that calls a function that writes: the text does not show it, the replica does. */
    @Test
    void whatANodeWillNotRunAsAReadRunsOnceAtThePrimaryAndIsAWriteFromThenOn() throws Exception {
        var turnedAway = new AtomicInteger();
        start(always(Deed.tag("W")), text -> {
            if (text.contains("v_next")) {
                turnedAway.incrementAndGet();
                return Deed.error("25006");
            }
            return Deed.tag("R");
        });
        try (SqlClient client = client()) {
            for (int i = 0; i < 4; i++) {
                assertEquals("C(W)", client.ask("select * from v_next where a = " + i));
                assertEquals("C(R)", client.ask("select " + i));
            }
            assertEquals(1, turnedAway.get());
            assertEquals(4, nodes.get(0).ran.size());
        }
    }

    /** What is a string here would be code there. */
    @Test
    void aNodeThatCutsStringsOtherwiseIsNotUsed() throws Exception {
        start(
                RULES.replace("trust_comments = true", "standard_conforming_strings = false"),
                always(Deed.tag("W")),
                always(Deed.tag("R")));
        try (SqlClient client = client()) {
            assertEquals("E(53300)", client.ask("select 1"));
            assertTrue(nodes.stream().allMatch(node -> node.ran.isEmpty()));
        }
    }

    @Test
    void settingsAreAnsweredAndFollowTheSessionToEveryConnection() throws Exception {
        start(always(Deed.tag("W")), always(Deed.tag("R")));
        try (SqlClient one = client("user", "u", "TimeZone", "UTC");
                SqlClient other = client("user", "u")) {
            assertEquals("C(SET)", one.ask("SET extra_float_digits = 3"));
            assertEquals("C(R)", one.ask("select 1"));
            assertEquals("C(R)", other.ask("select 2"));
            assertEquals("C(SET)", one.ask("set time zone 'Mars'"));
            assertEquals("E(22023)", one.ask("select 3"));
            assertEquals("C(RESET)", one.ask("reset timezone"));
            assertEquals("C(R)", one.ask("select 4"));
            assertEquals(0, runs("select 3"));
            assertTrue(nodes.stream()
                    .flatMap(node -> node.tuned.stream())
                    .anyMatch("SET extra_float_digits TO 3;SET timezone TO 'UTC';"::equals));
        }
        var refused = new SqlClient(server.address(), "user", "u", "search_path", "x");
        assertThrows(EOFException.class, refused::answer);
    }

    @Test
    void aSessionThatMayHaveBeenChangedServesNoOther() throws Exception {
        start(always(Deed.tag("W")), always(Deed.tag("R")));
        try (SqlClient client = client()) {
            client.ask("select unknown_function(1)");
            Channel used = nodes.get(0).connections.peek();
            used.closeFuture().sync();
            assertEquals("C(W)", client.ask("delete from t"));
            assertEquals("C(W)", client.ask("delete from u"));
        }
    }

    @Test
    void anAnswerPastTheLimitIsToldAsOneAndNothingIsRepeated() throws Exception {
        start(
                RULES.replace("trust_comments = true", "answer_bytes = 2000"),
                always(Deed.rows("x".repeat(3000))),
                always(Deed.rows("x".repeat(1500))));
        try (SqlClient client = client()) {
            assertEquals("TDC(SELECT 1)", client.ask("select 1"));
            assertEquals("E(54000)", client.ask("delete from t returning *"));
            assertEquals(1, runs("delete from t returning *"));
            assertEquals("TDC(SELECT 1)", client.ask("select 1"));
        }
    }

    private static ByteBuf part(char type, ByteBuf body) {
        return SqlNode.message(Unpooled.buffer(), type, body);
    }

    static List<ByteBuf> spoilt() {
        return List.of(
                part('D', Unpooled.buffer().writeShort(0)),
                Unpooled.EMPTY_BUFFER,
                part('T', Unpooled.buffer().writeShort(3)),
                part('D', Unpooled.buffer().writeShort(1).writeInt(-2)),
                part('G', Unpooled.buffer().writeZero(3)),
                part('T', Unpooled.buffer().writeShort(0)),
                Unpooled.buffer().writeByte('Z').writeInt(5).writeByte('T'),
                Unpooled.wrappedBuffer(
                        Deed.rows().answer().slice(0, 47),
                        part('D', Unpooled.buffer().writeShort(1).writeInt(-1)),
                        part('C', SqlNode.text("SELECT 1"))));
    }

    @ParameterizedTest
    @MethodSource("spoilt")
    void aSpoiltAnswerIsNoneAndAReadIsTriedElsewhere(ByteBuf spoilt) throws Exception {
        var sent = new AtomicInteger();
        start(always(Deed.bytes(spoilt)), any -> sent.incrementAndGet() == 1 ? Deed.bytes(spoilt) : Deed.tag("R"));
        try (SqlClient client = client()) {
            assertEquals("C(R)", client.ask("select 1"));
            assertEquals("E(40003)", client.ask("delete from t"));
            assertEquals(1, runs("delete from t"));
        }
    }

    @Test
    void noticesEmptyAnswersAndSeveralResultsArePassedOn() throws Exception {
        ByteBuf notice = Encoder.error(false, "01000", "w", null);
        notice.setByte(0, 'N');
        ByteBuf several = Unpooled.wrappedBuffer(
                notice.slice(0, notice.readableBytes() - 6),
                part('I', Unpooled.EMPTY_BUFFER),
                Deed.rows("x").answer(),
                part('T', Unpooled.buffer().writeShort(0)),
                part('C', SqlNode.text("SELECT 0")));
        start(always(Deed.bytes(several)), always(Deed.bytes(several)));
        try (SqlClient client = client()) {
            assertEquals("N(01000)ITDC(SELECT 1)TC(SELECT 0)", client.ask("select 1"));
            assertEquals("N(01000)ITDC(SELECT 1)TC(SELECT 0)", client.ask("call p(); select 1"));
        }
    }

    // ---- rules 1, 2 and 5 over many ----

    private static final String[] READS = {
        "select a, b from t where c = %d",
        "select count(*) from t join u using (a) where b = %d",
        "with x as (select %d as a) select * from x",
        "select lower(a) from t where b in (%d, 2) /* delete */",
        "explain select a from t where b = %d",
        "values (%d)"
    };
    private static final String[] WRITES = {
        "insert into posts (id, a) values (%d, 'x')",
        "update t set a = %d",
        "with d as (delete from t where a = %d returning 1) select * from d",
        "select nextval('s'), %d",
        "select a from t where b = %d for update",
        "select post_toll(%d)",
        "explain analyze delete from t where a = %d",
        "select %d into x from t",
        "select 1; delete from t where a = %d",
        "select /* %d */ unknown(1)"
    };

    @Test
    void ofManyStatementsNoWriteReachesAReplicaNoneRunsTwiceAndEachIsAnsweredOnce() throws Exception {
        var random = new Random(5);
        int[] chances = random.ints(100_000, 0, 100).toArray();
        var chance = new AtomicInteger();
        Function<String, Deed> trouble = text -> switch (chances[chance.getAndIncrement() % chances.length]) {
            case 0 -> Deed.error("53300");
            case 2 -> new Deed(Deed.Kind.RESET_BEFORE, null, null);
            case 3 -> new Deed(Deed.Kind.RESET_AFTER, null, null);
            case 4 -> Deed.error("XX000");
            default -> text.startsWith("select a, b") ? Deed.rows("1", "2") : Deed.tag("OK");
        };
        start(trouble, trouble);
        int clients = 8;
        int each = 2500;
        var pool = Executors.newFixedThreadPool(clients);
        var played = new ArrayList<Future<Map<String, String>>>();
        for (int c = 0; c < clients; c++) {
            int number = c;
            Callable<Map<String, String>> play = () -> {
                var dice = new Random(number);
                var answers = new HashMap<String, String>();
                try (SqlClient client = client("user", "u", "application_name", "c" + number % 2)) {
                    for (int i = 0; i < each; i++) {
                        String[] forms = dice.nextInt(3) == 0 ? WRITES : READS;
                        String text =
                                forms[dice.nextInt(forms.length)].replace("%d", Integer.toString(number * each + i));
                        answers.put(text, client.ask(text));
                        if (i % 500 == 499) { // a node loses all its connections
                            nodes.get(dice.nextInt(3)).connections.forEach(Channel::close);
                        }
                    }
                    assertTrue(client.ended());
                }
                return answers;
            };
            played.add(pool.submit(play));
        }
        var answers = new HashMap<String, String>();
        for (Future<Map<String, String>> one : played) {
            answers.putAll(one.get());
        }
        pool.shutdown();
        assertEquals(clients * each, answers.size());
        var ran = new HashMap<String, Integer>();
        var reads = new ArrayList<Long>();
        for (SqlNode node : nodes) {
            node.ran.forEach(text -> ran.merge(text, 1, Integer::sum));
            boolean replica = node != nodes.get(0);
            assertTrue(!replica || node.ran.stream().noneMatch(SqlRoutingTest::writes));
            reads.add(node.ran.stream().filter(text -> !writes(text)).count());
        }
        // Reads take turns over the replicas; the primary gets those that both could not take.
        assertTrue(
                reads.get(0) < reads.get(1)
                        && reads.get(0) < reads.get(2)
                        && reads.get(1) < 2 * reads.get(2)
                        && reads.get(2) < 2 * reads.get(1),
                reads.toString());
        for (var answered : answers.entrySet()) {
            String text = answered.getKey();
            int runs = ran.getOrDefault(text, 0);
            boolean keyed = text.startsWith("insert into posts");
            assertTrue(!writes(text) || runs <= 1 || keyed, text + " ran " + runs + " times");
            boolean ok =
                    answered.getValue().endsWith(")") && !answered.getValue().startsWith("E");
            assertTrue(!ok || runs >= 1, text + " was answered but never ran");
            assertTrue(ok || answered.getValue().matches("E\\((53300|40003|XX000)\\)"), answered.getValue());
            assertTrue(
                    !answered.getValue().equals("E(53300)") || runs == 0 || !writes(text),
                    text + " ran and was throttled");
        }
        long failed = answers.values().stream()
                .filter(answer -> answer.startsWith("E"))
                .count();
        assertTrue(failed < clients * each / 20, failed + " failed");
    }

    private static boolean writes(String text) {
        for (String form : WRITES) {
            if (text.matches("(?s)" + java.util.regex.Pattern.quote(form).replace("%d", "\\E[0-9]+\\Q"))) {
                return true;
            }
        }
        return false;
    }

    // ---- a real client ----

    @Test
    void theJdbcDriverConnectsQueriesAndWrites() throws Exception {
        start(
                always(Deed.tag("INSERT 0 1")),
                text -> text.contains("missing") ? Deed.error("42P01") : Deed.rows("one", "two"));
        var address = server.address();
        try (Connection connection = DriverManager.getConnection(
                "jdbc:postgresql://127.0.0.1:" + address.getPort()
                        + "/core?preferQueryMode=simple&sslmode=disable&gssEncMode=disable&ApplicationName=test",
                "u",
                "")) {
            try (var statement = connection.createStatement();
                    var rows = statement.executeQuery("select a, b from t")) {
                assertTrue(rows.next());
                assertEquals("one", rows.getString(1));
                assertEquals(null, rows.getString("b"));
                assertTrue(rows.next() && !rows.next());
            }
            try (var insert = connection.prepareStatement("insert into posts (id, a) values (?, ?)")) {
                insert.setInt(1, 7);
                insert.setString(2, "it's");
                assertEquals(1, insert.executeUpdate());
            }
            try (var statement = connection.createStatement()) {
                SQLException missing =
                        assertThrows(SQLException.class, () -> statement.executeQuery("select * from missing"));
                assertEquals("42P01", missing.getSQLState());
                connection.setAutoCommit(false);
                SQLException block = assertThrows(SQLException.class, () -> statement.executeQuery("select 1"));
                assertEquals("0A000", block.getSQLState());
            }
        }
        assertTrue(
                nodes.get(0).ran.stream().anyMatch(text -> text.contains("it''s")),
                () -> nodes.get(0).ran.toString());
        assertTrue(nodes.stream()
                .flatMap(node -> node.tuned.stream())
                .anyMatch(text -> text.contains("application_name TO 'test'")));
    }
}
