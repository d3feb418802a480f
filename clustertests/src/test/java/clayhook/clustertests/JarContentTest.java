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
 * Checks that the jar that process tests and operators run contains the classes of this build.
 *
 * <p>A second build in the same tree used to leave outdated classes in the jar, without an error: the jar plugin of the
 * module {@code cli} kept the shaded jar of the previous build because it was newer than the module's own classes.
 * Shading then added the new classes of the other modules after the old ones, and the first of two equal names wins.
 */
class JarContentTest {
    @ParameterizedTest
    @ValueSource(strings = {"core", "daemon", "statements", "cli"})
    void jarContainsClassesOfThisBuild(String module) throws IOException {
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
