package clayhook.cli;

import clayhook.config.ConfigurationException;
import clayhook.config.OperatorConfigurationReader;
import clayhook.statements.Classification;
import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.StatementEffect;
import clayhook.statements.StatementRules;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "classify",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description =
                "Tells of each statement what the router would take it for: a read only if it is proven to change nothing.")
final class ClassifyCommand implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", description = "the operator's file, for its rules")
    private Path config;

    @Option(names = "--json", description = "one object a statement")
    private boolean json;

    @Option(names = "--nul", description = "statements are separated by NUL instead of line breaks")
    private boolean nul;

    @Option(names = "--user", description = "the client's user, for rules", defaultValue = "")
    private String user;

    @Option(names = "--database", description = "the client's database, for rules", defaultValue = "")
    private String database;

    @Option(names = "--application", description = "the client's application_name, for rules", defaultValue = "")
    private String application;

    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "FILE",
            description = "statements; standard input if left out")
    private Path file;

    /** Closes standard output, because the program ends after this call and prints nothing more. */
    @SuppressWarnings("ClosingStandardOutputStreams")
    @Override
    public Integer call() throws IOException {
        StatementRules rules;
        try {
            rules = config == null
                    ? StatementRules.DEFAULT
                    : OperatorConfigurationReader.readStatements(config).rules();
        } catch (ConfigurationException e) {
            return Main.reportInvalidConfiguration(e);
        }
        var classifier = new Classifier(rules, 1);
        var client = new ClientIdentity(user, database, application);
        try (InputStream in = new BufferedInputStream(file == null ? System.in : Files.newInputStream(file), 1 << 16);
                var out =
                        new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false, StandardCharsets.UTF_8)) {
            int separator = nul ? 0 : '\n';
            var statement = new ByteArrayOutputStream();
            for (int b = in.read(); b >= 0 || statement.size() > 0; b = in.read()) {
                if (b >= 0 && b != separator) {
                    statement.write(b);
                    continue;
                }
                byte[] text = statement.toByteArray();
                statement.reset();
                if (!new String(text, StandardCharsets.UTF_8).isBlank()) {
                    classifier.beginTick();
                    Classification classification = classifier.classify(text, client);
                    out.println(json ? toJson(classification) : formatLine(classification, classifier.shape(text)));
                }
            }
            return out.checkError() ? Main.EXIT_FAILURE : Main.EXIT_SUCCESS;
        } catch (java.nio.file.NoSuchFileException | java.nio.file.AccessDeniedException e) {
            System.err.println("clayhook: " + file + ": cannot be read");
            return Main.EXIT_INVALID_USAGE;
        }
    }

    private static String verdictName(Classification classification) {
        return classification.verdict().name().toLowerCase(Locale.ROOT);
    }

    private static String formatLine(Classification classification, String shape) {
        boolean refused = classification.verdict() == StatementEffect.REFUSED;
        String shortenedShape =
                shape.length() > MAX_SHAPE_CHARACTERS ? shape.substring(0, MAX_SHAPE_CHARACTERS) + " ..." : shape;
        return String.format(
                Locale.ROOT,
                "%-7s %s  (%s)%n        %s",
                verdictName(classification),
                refused
                        ? ""
                        : "to command group "
                                + classification.requestClass() + ", nodes " + classification.replicaSetId() + ", by "
                                + classification.rule() + ", about "
                                + Math.round(classification.cost() * 1e4) / 10.0 + " ms",
                classification.reason(),
                shortenedShape);
    }

    /** The maximum number of characters of a shape in a line of text output. */
    private static final int MAX_SHAPE_CHARACTERS = 160;

    private static final JsonFactory JSON = new JsonFactory();

    private static String toJson(Classification classification) throws IOException {
        var text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("class", verdictName(classification));
            out.writeStringField("shape", classification.fingerprint());
            out.writeStringField("group", classification.requestClass());
            out.writeNumberField("nodes", classification.replicaSetId());
            out.writeNumberField("cost", classification.cost());
            out.writeStringField("rule", classification.rule());
            out.writeStringField("why", classification.reason());
            out.writeEndObject();
        }
        return text.toString();
    }
}
