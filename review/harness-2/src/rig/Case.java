package rig;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A case of the review. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
public abstract class Case {
    /** A run takes 120 seconds at most. */
    private static final int MAX_SECONDS = 110;

    /** The exit codes. */
    public enum Result {
        HELD,
        BROKEN,
        NOT_RUN
    }

    protected final Record record = new Record();
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** The root of the repository. */
    protected Path root;
    /** A temporary folder of this run. */
    protected Path folder;

    protected abstract Result play() throws Exception;

    /** Runs a case: the folder of the case is the first argument. */
    protected static void run(Case played, String[] arguments) throws Exception {
        Path own = Path.of(arguments[0]).toAbsolutePath().normalize();
        played.root = own.getParent().getParent();
        played.folder = Files.createTempDirectory("review");
        Result result = Result.NOT_RUN;
        Threads.start("time limit", () -> {
            Thread.sleep(MAX_SECONDS * 1000L);
            played.record.add("result: NOT_RUN, the time limit has passed");
            played.record.write(own.resolve("record.txt"));
            System.exit(2);
        });
        try {
            played.record.add("disruption: %s", played.trouble ? "yes" : "no");
            result = played.play();
        } catch (Exception e) {
            played.record.add("could not run: %s", e);
            e.printStackTrace();
        } finally {
            played.record.add("result: %s", result);
            played.record.write(own.resolve("record.txt"));
            System.out.println(result);
            try (Stream<Path> files = Files.walk(played.folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        System.exit(result == Result.HELD ? 0 : result == Result.BROKEN ? 1 : 2);
    }

    protected static long now() {
        return System.currentTimeMillis();
    }
}
