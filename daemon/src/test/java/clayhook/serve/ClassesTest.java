package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClassesTest {
    /** Each shape of concatenation would make classes at its first use, while commands wait. */
    @Test
    void textIsJoinedWithoutMakingClasses() throws Exception {
        Path root = Path.of(Router.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        try (var files = Files.walk(root)) {
            List<Path> classes = files.filter(file -> file.toString().endsWith(".class")).toList();
            assertFalse(classes.isEmpty());
            assertEquals(List.of(), classes.stream().filter(ClassesTest::linksAtRunTime).toList());
        }
    }

    private static boolean linksAtRunTime(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).contains("makeConcatWithConstants");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
