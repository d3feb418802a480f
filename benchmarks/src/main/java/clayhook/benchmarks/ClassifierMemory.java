package clayhook.benchmarks;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.StatementRules;

/**
 * Compares the heap size of a classifier whose shape cache is full, including its parser, with the size that the
 * classifier computes itself.
 */
public final class ClassifierMemory {
    /** Enough statements to fill the shape cache several times; 1 in 20 has one of the repeated shapes. */
    private static final int STATEMENTS = 60_000, HOT_SHAPES = 200;

    private ClassifierMemory() {}

    private static long usedHeapAfterGc() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static Classifier filledClassifier(int statements) {
        var classifier = new Classifier(StatementRules.DEFAULT, 1);
        for (int i = 0; i < statements; i++) {
            classifier.beginTick();
            String table = i % 20 == 0 ? "hot" + i / 20 % HOT_SHAPES : "once" + i;
            String text = "select t.id, t.name, count(*) from " + table + " t join accounts a on a.id = t.account where"
                    + " a.region in (1, 2, 3) and t.seen > now() - interval '1 day' group by t.id, t.name order by 3 desc limit 20";
            classifier.recordServiceTime(classifier.classify(text.getBytes(UTF_8), ClientIdentity.UNKNOWN), 0.001);
        }
        return classifier;
    }

    public static void main(String[] args) {
        filledClassifier(1); // loads the classes and static data that all classifiers share
        long before = usedHeapAfterGc();
        Classifier classifier = filledClassifier(STATEMENTS);
        long heap = usedHeapAfterGc() - before;
        System.out.println("shapes " + classifier.size() + ", by its own reckoning " + classifier.weight() / 1024
                + " KiB, heap " + heap / 1024 + " KiB");
    }
}
