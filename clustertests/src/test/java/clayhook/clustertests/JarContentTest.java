package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The jar that process tests and operators run holds the classes of this build.
 *
 * <p>A build in a tree that had been built before left it out of date: the jar plugin of the module {@code cli} found
 * its jar newer than the module's own classes and kept it, though by then it was the last build's jar with all modules
 * in it. Shading put that first and the new classes of the other modules behind it, and the first of two equal names
 * counts. What showed it: {@code javap} found fields of the day before in the jar, right after a build without errors.
 */
class JarContentTest {
    @ParameterizedTest
    @ValueSource(strings = {"core", "daemon", "statements", "cli"})
    void jarHoldsTheClassesOfThisBuild(String module) throws IOException {
        Path classes = Path.of("..", module, "target", "classes");
        List<String> outdated = new ArrayList<>();
        int compared = 0;
        try (var jar = new JarFile(ClusterTest.JAR.toFile());
                Stream<Path> files = Files.walk(classes)) {
            for (Path file :
                    files.filter(each -> each.toString().endsWith(".class")).toList()) {
                String name = classes.relativize(file).toString();
                ZipEntry entry = jar.getEntry(name);
                compared++;
                if (entry == null || !isEqual(jar, entry, file)) {
                    outdated.add(name);
                }
            }
        }
        assertTrue(compared > 0, "no classes in " + classes);
        assertEquals(List.of(), outdated);
    }

    private static boolean isEqual(JarFile jar, ZipEntry entry, Path file) throws IOException {
        try (InputStream in = jar.getInputStream(entry)) {
            return Arrays.equals(in.readAllBytes(), Files.readAllBytes(file));
        }
    }
}
