package clayhook.clustertests;

import java.io.File;
import java.nio.file.Path;
import java.util.List;

/**
 * The program that a router process runs.
 *
 * @param jar jar of the program
 * @param replacedClasses folder with classes that replace those of the jar, or null. Used for deliberately broken
 *     builds, whose violations the audits have to detect
 */
public record RouterProgram(Path jar, Path replacedClasses) {
    /** Returns a program that runs the unmodified jar. */
    public static RouterProgram of(Path jar) {
        return new RouterProgram(jar, null);
    }

    /** The arguments of {@code java} that start the program, without the program's own arguments. */
    List<String> arguments() {
        return replacedClasses == null
                ? List.of("-jar", jar.toString())
                : List.of("-cp", replacedClasses + File.pathSeparator + jar, "clayhook.cli.Main");
    }
}
