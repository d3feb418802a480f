package clayhook.statements;

import java.util.List;
import org.antlr.v4.runtime.BailErrorStrategy;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ListTokenSource;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/**
 * A parser that ends when it has entered a number of rules of the grammar. Time, memory of the parse tree and depth of
 * the stack all grow by the rules entered, so the bound holds for shapes of any kind. Not thread-safe.
 */
final class BoundedSqlParser extends Sql {
    /**
     * The deepest nesting of rules. A pair of brackets takes fewer than ten, and the analyzer admits forty of them, so
     * that a smaller stack than that of any of our threads is sufficient.
     */
    private static final int MAX_RULE_DEPTH = 500;

    private final int maxRules;
    private int rulesEntered;
    private int ruleDepth;

    /** The parse ended because the shape takes too many rules, one after the other or one within the other. */
    static final class TooManyRulesException extends ParseCancellationException {
        private static final long serialVersionUID = 1;

        private TooManyRulesException() {
            super("too many rules");
        }
    }

    BoundedSqlParser(int maxRules) {
        super(new CommonTokenStream(new ListTokenSource(List.of())));
        this.maxRules = maxRules;
        removeErrorListeners();
        setErrorHandler(new BailErrorStrategy());
    }

    /**
     * Parses a shape.
     *
     * @throws TooManyRulesException if this takes too many rules
     * @throws ParseCancellationException if the shape does not match the grammar
     */
    EntryContext parse(List<Token> shape) {
        rulesEntered = 0;
        ruleDepth = 0;
        setTokenStream(new CommonTokenStream(new ListTokenSource(shape)));
        return entry();
    }

    /** The number of rules that the latest parse has entered. */
    int rulesEntered() {
        return rulesEntered;
    }

    @Override
    public void enterRule(ParserRuleContext context, int state, int ruleIndex) {
        rulesEntered++;
        ruleDepth++;
        if (rulesEntered > maxRules || ruleDepth > MAX_RULE_DEPTH) {
            throw new TooManyRulesException();
        }
        super.enterRule(context, state, ruleIndex);
    }

    @Override
    public void exitRule() {
        ruleDepth--;
        super.exitRule();
    }
}
