package clayhook.benchmarks;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.StatementRules;

/** The heap of a classifier at the bound of its shapes, parser and all, beside its own reckoning. */
public final class ClassifierMemory {
    /** Enough to fill the bound several times over; one in twenty repeats. */
    private static final int STATEMENTS = 60_000, HOT = 200;

    private ClassifierMemory() {}

    private static long used() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static Classifier filled(int statements) {
        var classifier = new Classifier(StatementRules.DEFAULT, 1);
        for (int i = 0; i < statements; i++) {
            classifier.beginTick();
            String table = i % 20 == 0 ? "hot" + i / 20 % HOT : "once" + i;
            String text = "select t.id, t.name, count(*) from " + table + " t join accounts a on a.id = t.account where"
                    + " a.region in (1, 2, 3) and t.seen > now() - interval '1 day' group by t.id, t.name order by 3 desc limit 20";
            classifier.recordServiceTime(classifier.classify(text.getBytes(UTF_8), ClientIdentity.UNKNOWN), 0.001);
        }
        return classifier;
    }

    public static void main(String[] args) {
        filled(1); // what all share is loaded
        long before = used();
        Classifier classifier = filled(STATEMENTS);
        long heap = used() - before;
        System.out.println("shapes " + classifier.size() + ", by its own reckoning " + classifier.weight() / 1024
                + " KiB, heap " + heap / 1024 + " KiB");
    }
}
