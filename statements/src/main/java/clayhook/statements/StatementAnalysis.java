package clayhook.statements;

import clayhook.statements.ShapeFacts.Place;
import clayhook.statements.Sql.*;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Collects the facts of a parsed shape while its parse tree is walked. Any part that is not known to be free of side
 * effects makes the shape a write.
 */
final class StatementAnalysis extends SqlBaseListener {
    private final HarmlessNames known;
    /** The first reason found why the shape may change something, or null. */
    private String why;

    private final Set<String> relations = new LinkedHashSet<>();
    /** Names defined so far by WITH clauses; within the query that defines it, a name still denotes a table. */
    private final Set<String> given = new HashSet<>();

    private final Set<String> functions = new TreeSet<>();
    private final Map<String, Place> keys = new LinkedHashMap<>();
    private boolean inserts;
    /** Whether the shape may call a function that changes the state of the database session. */
    private boolean opaque;

    private int selects;
    private int joins;
    private int aggregates;
    private int sorts;
    private boolean limited;
    private boolean filtered;

    StatementAnalysis(HarmlessNames known) {
        this.known = known;
    }

    ShapeFacts facts(String kind) {
        return new ShapeFacts(
                why == null ? StatementEffect.READ : StatementEffect.WRITE,
                why == null ? "proven to change nothing" : why,
                kind,
                List.copyOf(relations),
                List.copyOf(functions),
                Map.copyOf(keys),
                inserts,
                work(),
                opaque);
    }

    /** Estimates the work from the number of rows and passes over them; a limit without a sort ends a scan early. */
    private double work() {
        double work = 1 + 2.0 * joins + 3.0 * aggregates + 2.0 * sorts + Math.max(0, selects - 1);
        boolean whole = !relations.isEmpty() && !filtered && !inserts;
        work *= whole && !limited ? 10 : 1;
        return limited && sorts == 0 && aggregates == 0 ? Math.max(1, work / 2) : work;
    }

    private void writes(String reason) {
        why = why == null ? reason : why;
    }

    // ---- statements ----

    @Override
    public void exitCte(CteContext ctx) {
        given.add(IdentifierRules.of(ctx.name()));
    }

    @Override
    public void enterSelect(SelectContext ctx) {
        selects++;
        filtered |= ctx.where() != null;
        aggregates += ctx.GROUP() == null ? 0 : 1;
    }

    @Override
    public void enterInto(IntoContext ctx) {
        writes("SELECT INTO makes a table");
    }

    @Override
    public void enterLock(LockContext ctx) {
        writes("locks rows");
    }

    @Override
    public void enterInsert(InsertContext ctx) {
        changes("INSERT", ctx);
        if (outermost(ctx)) {
            inserted(ctx);
        }
    }

    @Override
    public void enterUpdate(UpdateContext ctx) {
        changes("UPDATE", ctx);
    }

    @Override
    public void enterDelete(DeleteContext ctx) {
        changes("DELETE", ctx);
    }

    private void changes(String verb, ParserRuleContext ctx) {
        writes(verb + (outermost(ctx) ? " changes rows" : " within the statement changes rows"));
        filtered |= ctx.getRuleContext(WhereContext.class, 0) != null;
    }

    private static boolean outermost(ParserRuleContext ctx) {
        return ctx.getParent() instanceof StatementContext statement && !(statement.getParent() instanceof CteContext);
    }

    @Override
    public void enterTarget_(Target_Context ctx) {
        relations.add(IdentifierRules.of(ctx.qname()));
    }

    @Override
    public void enterRelation(RelationContext ctx) {
        String name = IdentifierRules.of(ctx.qname());
        if (!given.contains(name)) {
            relations.add(name);
        }
        if (!known.relation(name)) {
            writes("reading " + name + " may change something");
        }
    }

    @Override
    public void enterJoin(JoinContext ctx) {
        joins++;
    }

    @Override
    public void enterSources(SourcesContext ctx) {
        joins += ctx.source().size() - 1;
    }

    @Override
    public void enterTail(TailContext ctx) {
        sorts += ctx.ORDER() == null ? 0 : 1;
        limited |= (ctx.LIMIT() != null && ctx.ALL() == null) || ctx.FETCH() != null;
    }

    @Override
    public void enterSampling(SamplingContext ctx) {
        String name = IdentifierRules.of(ctx.name());
        if (!name.equals("bernoulli") && !name.equals("system")) {
            writes("unknown sampling method " + name);
        }
    }

    // ---- expressions ----

    @Override
    public void enterCall(CallContext ctx) {
        String name = ctx.function().qname() == null
                ? IdentifierRules.fold(ctx.function().getText())
                : IdentifierRules.of(ctx.function().qname());
        called(name);
        if (HarmlessNames.AGGREGATES.contains(name)) {
            aggregates++;
        }
    }

    private void called(String name) {
        functions.add(name);
        opaque |= !known.leavesNothingBehind(name);
        if (!known.function(name)) {
            writes("function " + name + " is not known to change nothing");
        }
    }

    @Override
    public void enterPrimary(PrimaryContext ctx) {
        TerminalNode special = ctx.EXTRACT() != null
                ? ctx.EXTRACT()
                : ctx.SUBSTRING() != null
                        ? ctx.SUBSTRING()
                        : ctx.POSITION() != null ? ctx.POSITION() : ctx.OVERLAY() != null ? ctx.OVERLAY() : ctx.TRIM();
        if (special != null) {
            called(IdentifierRules.fold(special.getText()));
        }
        if (ctx.qname() != null) {
            column(ctx.qname());
        }
    }

    /** Checks for a function call in the notation of a column: {@code row.f} is {@code f(row)}. */
    private void column(QnameContext name) {
        mayCall(IdentifierRules.of(name.name(name.name().size() - 1)));
    }

    private void mayCall(String last) {
        if (known.mayBeFunction(last)) {
            opaque = true;
            writes(last + " may be a function of the database");
        }
    }

    @Override
    public void enterPostfix(PostfixContext ctx) {
        if (ctx.DOT() != null && ctx.name() != null) {
            mayCall(IdentifierRules.of(ctx.name()));
        }
    }

    @Override
    public void enterOperator(OperatorContext ctx) {
        String schema = ctx.name().isEmpty() ? "" : IdentifierRules.of(ctx.name(0));
        ParseTree sign = ctx.OPERATOR() == null ? ctx.getChild(0) : ctx.getChild(ctx.getChildCount() - 2);
        if (!known.operator(sign.getText())
                || ctx.name().size() > 1
                || (!schema.isEmpty() && !schema.equals("pg_catalog"))) {
            writes("operator " + sign.getText() + " is not known to change nothing");
        }
    }

    @Override
    public void enterTerm(TermContext ctx) {
        for (TerminalNode sign : ctx.OP()) {
            if (!known.operator(sign.getText())) {
                writes("operator " + sign.getText() + " is not known to change nothing");
            }
        }
    }

    @Override
    public void enterTypeName(TypeNameContext ctx) {
        String name = ctx.qname() == null ? "" : IdentifierRules.of(ctx.qname());
        if (!name.isEmpty() && !known.type(name)) {
            writes("type " + name + " is not known to change nothing");
        }
    }

    // ---- keys ----

    @Override
    public void enterWhere(WhereContext ctx) {
        ParserRuleContext owner = ctx.getParent();
        boolean plain = owner instanceof SelectContext select
                ? select.getParent().getParent() instanceof BodyContext body
                        && body.operand().size() == 1
                        && outermost(body)
                : outermost(owner);
        if (plain) {
            compared(ctx.expr());
        }
    }

    /** Collects the columns compared with one literal, unless the condition contains an OR. */
    private void compared(ExprContext all) {
        if (all.binary().stream().anyMatch(b -> b.OR() != null)) {
            return;
        }
        int from = 0;
        boolean ranged = false;
        for (int i = 0; i <= all.binary().size(); i++) {
            if (i < all.binary().size() && all.binary(i).AND() == null) {
                continue;
            }
            // The operand after the AND of a BETWEEN is the upper bound and no condition of its own.
            if (i - from == 1
                    && !ranged
                    && all.binary(from).operator() != null
                    && all.binary(from).operator().getText().equals("=")) {
                compared(all.term(from), all.term(from + 1));
                compared(all.term(from + 1), all.term(from));
            }
            ranged = false;
            for (int j = from; j < i; j++) {
                ranged |= all.binary(j).BETWEEN() != null;
            }
            from = i + 1;
        }
    }

    private void compared(TermContext column, TermContext literal) {
        PrimaryContext name = column.getChildCount() == 1 ? column.primary() : null;
        PrimaryContext value = literal.getChildCount() == 1 ? literal.primary() : null;
        if (name != null && name.qname() != null && value != null && value.literal() != null) {
            QnameContext qname = name.qname();
            keys.putIfAbsent(
                    IdentifierRules.of(qname.name(qname.name().size() - 1)),
                    new Place(value.literal().LITERAL().getSymbol().getTokenIndex(), 0, 1));
        }
    }

    /** Collects the columns of an INSERT with rows of values. */
    private void inserted(InsertContext ctx) {
        BodyContext body = ctx.query() == null ? null : ctx.query().body();
        OperandContext operand = body == null || body.operand().size() > 1 ? null : body.operand(0);
        if (operand == null || operand.VALUES() == null || operand.row().size() != 1) {
            return;
        }
        inserts = true;
        List<ExprContext> values = operand.row(0).exprs().expr();
        List<Into_Context> columns = ctx.into_();
        for (int i = 0; i < columns.size(); i++) {
            boolean listed = values.size() == 1 && columns.size() > 1;
            ExprContext value = listed ? values.get(0) : i < values.size() ? values.get(i) : null;
            PrimaryContext plain =
                    value != null && value.getChildCount() == 1 && value.term(0).getChildCount() == 1
                            ? value.term(0).primary()
                            : null;
            if (plain != null && plain.literal() != null && columns.get(i).getChildCount() == 1) {
                keys.putIfAbsent(
                        IdentifierRules.of(columns.get(i).name(0)),
                        new Place(
                                plain.literal().LITERAL().getSymbol().getTokenIndex(),
                                listed ? i : 0,
                                listed ? columns.size() : 1));
            }
        }
    }
}
