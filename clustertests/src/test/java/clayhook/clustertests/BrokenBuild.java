package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/** A deliberately broken build of the router, whose violations the audits have to detect. */
final class BrokenBuild {
    /** Modified texts by source file. */
    private final Map<String, String> texts = new LinkedHashMap<>();

    /** Replaces a text in a source file; fails unless the file contains the text exactly once. */
    BrokenBuild replace(String module, String sourceFile, String from, String to) throws IOException {
        Path path = Path.of("..", module, "src", "main", "java").resolve(sourceFile);
        String text = texts.containsKey(sourceFile) ? texts.get(sourceFile) : Files.readString(path);
        assertEquals(2, text.split(Pattern.quote(from), -1).length, from + " in " + sourceFile);
        return withSource(sourceFile, text.replace(from, to));
    }

    /** Replaces the whole text of a source file. */
    BrokenBuild withSource(String sourceFile, String text) {
        texts.put(sourceFile, text);
        return this;
    }

    private static JavaFileObject source(String sourceFile, String text) {
        return new SimpleJavaFileObject(URI.create("string:///" + sourceFile), JavaFileObject.Kind.SOURCE) {
            @Override
            public CharSequence getCharContent(boolean ignoreEncodingErrors) {
                return text;
            }
        };
    }

    /** Compiles the modified source files into a folder, against the jar whose classes they replace. */
    RouterProgram compile(Path folder) {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        var messages = new StringWriter();
        List<JavaFileObject> sources = texts.entrySet().stream()
                .map(each -> source(each.getKey(), each.getValue()))
                .toList();
        List<String> options =
                List.of("-proc:none", "-nowarn", "-cp", ClusterTest.JAR.toString(), "-d", folder.toString());
        assertTrue(
                compiler.getTask(messages, null, null, options, null, sources).call(), messages::toString);
        return new RouterProgram(ClusterTest.JAR, folder);
    }
}
