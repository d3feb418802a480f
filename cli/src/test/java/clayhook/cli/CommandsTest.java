package clayhook.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandsTest {
    private record CommandResult(int exitCode, String out, String err) {}

    private static CommandResult run(String in, String... args) {
        var out = new ByteArrayOutputStream();
        var err = new ByteArrayOutputStream();
        var savedStreams = new Object() {
            final java.io.InputStream in = System.in;
            final PrintStream out = System.out;
            final PrintStream err = System.err;
        };
        System.setIn(new ByteArrayInputStream(in.getBytes(UTF_8)));
        System.setOut(new PrintStream(out, true, UTF_8));
        System.setErr(new PrintStream(err, true, UTF_8));
        try {
            return new CommandResult(Commands.run(args), out.toString(UTF_8), err.toString(UTF_8));
        } finally {
            System.setIn(savedStreams.in);
            System.setOut(savedStreams.out);
            System.setErr(savedStreams.err);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "--help, 0",
        "--version, 0",
        "classify --help, 0",
        "serve --help, 0",
        "adapter --help, 0",
        "rehearse --version, 0",
        "'', 2",
        "nonsense, 2",
        "classify --nonsense, 2",
        "classify /there/is/no/such/file, 2",
        "classify --config /no/such/file, 2",
        "serve --config, 2"
    })
    void exitCodesTellDoneFromWrongUse(String arguments, int exitCode) {
        CommandResult result = run("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(exitCode, result.exitCode(), result::err);
        assertEquals(exitCode == 0, result.err().isEmpty());
    }

    @Test
    void classifyTellsOneObjectAStatement() {
        CommandResult result = run("select 1\n\ndelete from t\nbegin", "classify", "--json");
        assertEquals(0, result.exitCode());
        String[] lines = result.out().split("\n");
        assertEquals(3, lines.length);
        assertTrue(
                lines[0].matches(
                        "\\{\"class\":\"read\",\"shape\":\"[0-9a-f]{32}\",\"group\":\"read\",\"nodes\":1,\"cost\":0.001,"
                                + "\"rule\":\"default\",\"why\":\"proven to change nothing\"}"),
                lines[0]);
        assertTrue(lines[1].startsWith("{\"class\":\"write\"") && lines[2].startsWith("{\"class\":\"refused\""));
        assertEquals("", run("", "classify", "--json").out());
        assertEquals(
                2,
                run("select\n1\0delete\nfrom t\0", "classify", "--json", "--nul")
                        .out()
                        .split("\n")
                        .length);
    }

    @Test
    void classifyFollowsTheOperatorsRules(@TempDir Path folder) throws Exception {
        Path rules = Files.writeString(
                folder.resolve("c.toml"),
                "[[statements.rule]]\nname = \"mine\"\nclass = \"read\"\n"
                        + "application = \"rep*\"\ngroup = \"report\"\nnodes = [4]\n");
        Path file = Files.writeString(folder.resolve("s.sql"), "select 1\n");
        String[] args = {"classify", "--json", "--config", rules.toString(), "--application", "reports", file.toString()
        };
        assertTrue(run("", args).out().contains("\"group\":\"report\",\"nodes\":4,"));
        assertTrue(run("", args).out().contains("\"rule\":\"mine\""));
        Files.writeString(rules, "[statements]\nx = 1\n");
        assertEquals(
                "clayhook: " + rules + ":2: statements.x: is no key that is known\n",
                run("", args).err());
    }
}
