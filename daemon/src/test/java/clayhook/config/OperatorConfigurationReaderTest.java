package clayhook.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.statements.StatementRules;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorConfigurationReaderTest {
    private static final List<RequestClass> REQUEST_CLASSES = List.of(
            requestClass("read", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL),
            requestClass("write", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE),
            requestClass("keyed", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE),
            requestClass("again", Idempotency.IDEMPOTENT, ConsistencyLevel.WRITE));
    private static final String RULE = "[statements]\\nenabled = true\\n[[statements.rule]]\\nclass = \"write\"\\n";

    @TempDir
    Path folder;

    private static RequestClass requestClass(String name, Idempotency idempotency, ConsistencyLevel consistency) {
        return new RequestClass(name, idempotency, consistency, 1, 1, 1, 0, DeduplicationScope.REPLICA_SET, 1, 0);
    }

    private OperatorConfiguration read(String text) throws Exception {
        Path file = folder.resolve("c.toml");
        Files.writeString(file, text.replace("\\n", "\n"));
        return OperatorConfigurationReader.read(file, REQUEST_CLASSES);
    }

    @Test
    void exampleFileContainsEveryKeyWithItsDefault() throws Exception {
        Path example = Path.of("..", "deploy", "clayhook.toml");
        assertEquals(OperatorConfiguration.DEFAULTS, OperatorConfigurationReader.read(example, REQUEST_CLASSES));
        OperatorConfiguration enabled = read(Files.readString(example).replace("enabled = false", "enabled = true"));
        assertEquals(StatementRules.DEFAULT, enabled.statements().rules());
        assertEquals(
                SharingSettings.DEFAULT_LISTEN,
                enabled.sharing().listen().getHostString() + ":"
                        + enabled.sharing().listen().getPort());
        // The commented-out rule in the example file is valid once uncommented, and shows the keys of a rule.
        String rule = Files.readString(example)
                .replaceAll("(?m)^# (\\[\\[|[a-z_]+ = )", "$1")
                .replace("mark = \"id\"", "")
                .replace("group = \"report\"", "group = \"read\"");
        assertEquals(
                1,
                OperatorConfigurationReader.readStatements(Files.writeString(folder.resolve("r.toml"), rule))
                        .rules()
                        .rules()
                        .size());
    }

    @Test
    void disabledStatementsAreReadWithoutCheckingRequestClasses() throws Exception {
        assertNull(read("[statements]\\nread_group = \"elsewhere\"").statements());
        assertNotNull(read(RULE + "mark = \"id\"\\ngroup = \"keyed\"")
                .statements()
                .rules()
                .rules()
                .get(0));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a = |:1: ",
                "\\n[statements]\\nenabledd = true|:3: statements.enabledd: is no key that is known",
                "[nodes]\\nuser = ''|:2: nodes.user: is empty",
                "[statements]\\nenabled = 1|:2: statements.enabled: is no true or false",
                "statements = 1|:1: statements: is no table",
                "[statements]\\n\\ncache_bytes = 1|:3: statements.cache_bytes: 1 is not from 65536",
                "[statements]\\nparse_budget = 100.5|:2: statements.parse_budget: is no whole number",
                "[statements]\\ntimeout = nan|:2: statements.timeout: NaN is not from 0 to 86400",
                "[statements]\\npast_budget = 'x'|:2: statements.past_budget: 'x' is none of refuse, write",
                "[statements.database]\\nreads = [1]|:2: statements.database.reads: is no list of texts",
                "[statements]\\nenabled = true\\nread_group = \"write\"|:3: statements.read_group: command group 'write' is for writes",
                "[statements]\\nenabled = true\\nwrite_group = \"keyed\"|:3: statements.write_group: command group 'keyed' is keyed",
                "[statements]\\nenabled = true\\nwrite_group = \"again\"|:3: statements.write_group: command group 'again' is replayable",
                "[sharing]\\nlisten = 'x:1'|:2: sharing.listen: 'x:1' is no address and port in figures",
                "[sharing]\\nlisten = '0.0.0.0:7400'|:2: sharing.listen: is every address",
                "[sharing]\\nnews = 1|:2: sharing.news: is no key",
                "[sharing]\\nadvertise = '0.0.0.0:7400'|:2: sharing.advertise: is no address that others can send to",
                "[sharing]\\n\\nseeds = ['10.0.0.1:7400', 'a:1']|:3: sharing.seeds: 'a:1' is no address",
                "[sharing]\\nclock_bound = 3|:2: sharing.clock_bound: 3 is not from 0.01 to 2",
                "[[statements.rule]]\\ngroup = \"x\"|:1: statements.rule.class: is missing",
                RULE + "|:3: statements.rule.group: is missing",
                RULE + "group = \"none\"|:5: statements.rule.group: there is no command group 'none'",
                RULE + "group = \"read\"|:5: statements.rule.group: command group 'read' is for reads",
                RULE
                        + "group = \"write\"\\nmark = \"id\"|:5: statements.rule.group: command group 'write' is not keyed",
                RULE + "group = \"write\"\\nnodes_by = \"k\"|:6: statements.rule.nodes_by: needs nodes",
                RULE + "group = \"write\"\\nnodes = [1, 2]|:6: statements.rule.nodes: several groups need nodes_by",
                RULE + "group = \"write\"\\nnodes = [-1]|:6: statements.rule.nodes: is no list of whole numbers",
                RULE + "group = \"write\"\\ncost_from = 2\\ncost_to = 1|:7: statements.rule.cost_to: 1 is not from 2"
            })
    void errorNamesFileLineAndKey(String text, String messageAfterFile) {
        ConfigurationException error = assertThrows(ConfigurationException.class, () -> read(text));
        assertEquals(
                folder.resolve("c.toml") + messageAfterFile,
                error.getMessage()
                        .substring(
                                0,
                                Math.min(
                                        error.getMessage().length(),
                                        (folder.resolve("c.toml") + messageAfterFile).length())));
    }
}
