package clayhook.clustertests;

import java.io.File;
import java.nio.file.Path;
import java.util.List;

/**
 * What a router process runs.
 *
 * @param jar the program
 * @param replacedClasses a discovery of classes that take the place of the jar's, or null: for builds that are broken
 *     on purpose, on which a judge has to fail
 */
public record RouterProgram(Path jar, Path replacedClasses) {
    /** The jar as it is. */
    public static RouterProgram of(Path jar) {
        return new RouterProgram(jar, null);
    }

    /** The arguments of {@code java} that start it, without those of the program. */
    List<String> arguments() {
        return replacedClasses == null
                ? List.of("-jar", jar.toString())
                : List.of("-cp", replacedClasses + File.pathSeparator + jar, "clayhook.cli.Main");
    }
}
