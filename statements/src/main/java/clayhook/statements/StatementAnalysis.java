package clayhook.statements;

import clayhook.statements.ShapeFacts.LiteralPosition;
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
    private final HarmlessNames harmlessNames;
    /** The first reason found why the shape may change something, or null. */
    private String writeReason;

    private final Set<String> relations = new LinkedHashSet<>();
    /** Names defined so far by WITH clauses; within the query that defines it, a name still denotes a table. */
    private final Set<String> cteNames = new HashSet<>();

    private final Set<String> functions = new TreeSet<>();
    private final Map<String, LiteralPosition> literalPositions = new LinkedHashMap<>();
    private boolean insertsRows;
    /** Whether the shape may call a function that changes the state of the database session. */
    private boolean mayChangeSession;

    private int selectCount;
    private int joinCount;
    private int aggregateCount;
    private int sortCount;
    private boolean hasLimit;
    private boolean hasFilter;

    StatementAnalysis(HarmlessNames harmlessNames) {
        this.harmlessNames = harmlessNames;
    }

    ShapeFacts facts(String kind) {
        return new ShapeFacts(
                writeReason == null ? StatementEffect.READ : StatementEffect.WRITE,
                writeReason == null ? "proven to change nothing" : writeReason,
                kind,
                List.copyOf(relations),
                List.copyOf(functions),
                Map.copyOf(literalPositions),
                insertsRows,
                estimateWork(),
                mayChangeSession);
    }

    /** Estimates the work from the number of rows and passes over them; a limit without a sort ends a scan early. */
    private double estimateWork() {
        double work = 1 + 2.0 * joinCount + 3.0 * aggregateCount + 2.0 * sortCount + Math.max(0, selectCount - 1);
        boolean scansAll = !relations.isEmpty() && !hasFilter && !insertsRows;
        work *= scansAll && !hasLimit ? 10 : 1;
        return hasLimit && sortCount == 0 && aggregateCount == 0 ? Math.max(1, work / 2) : work;
    }

    private void markAsWrite(String reason) {
        writeReason = writeReason == null ? reason : writeReason;
    }

    // ---- statements ----

    @Override
    public void exitCte(CteContext ctx) {
        cteNames.add(IdentifierRules.normalize(ctx.name()));
    }

    @Override
    public void enterSelect(SelectContext ctx) {
        selectCount++;
        hasFilter |= ctx.where() != null;
        aggregateCount += ctx.GROUP() == null ? 0 : 1;
    }

    @Override
    public void enterInto(IntoContext ctx) {
        markAsWrite("SELECT INTO makes a table");
    }

    @Override
    public void enterLock(LockContext ctx) {
        markAsWrite("locks rows");
    }

    @Override
    public void enterInsert(InsertContext ctx) {
        markRowChange("INSERT", ctx);
        if (isOutermost(ctx)) {
            collectInsertedColumns(ctx);
        }
    }

    @Override
    public void enterUpdate(UpdateContext ctx) {
        markRowChange("UPDATE", ctx);
    }

    @Override
    public void enterDelete(DeleteContext ctx) {
        markRowChange("DELETE", ctx);
    }

    private void markRowChange(String verb, ParserRuleContext ctx) {
        markAsWrite(verb + (isOutermost(ctx) ? " changes rows" : " within the statement changes rows"));
        hasFilter |= ctx.getRuleContext(WhereContext.class, 0) != null;
    }

    private static boolean isOutermost(ParserRuleContext ctx) {
        return ctx.getParent() instanceof StatementContext statement && !(statement.getParent() instanceof CteContext);
    }

    @Override
    public void enterTarget_(Target_Context ctx) {
        relations.add(IdentifierRules.normalize(ctx.qname()));
    }

    @Override
    public void enterRelation(RelationContext ctx) {
        String name = IdentifierRules.normalize(ctx.qname());
        if (!cteNames.contains(name)) {
            relations.add(name);
        }
        if (!harmlessNames.isHarmlessRelation(name)) {
            markAsWrite("reading " + name + " may change something");
        }
    }

    @Override
    public void enterJoin(JoinContext ctx) {
        joinCount++;
    }

    @Override
    public void enterSources(SourcesContext ctx) {
        joinCount += ctx.source().size() - 1;
    }

    @Override
    public void enterTail(TailContext ctx) {
        sortCount += ctx.ORDER() == null ? 0 : 1;
        hasLimit |= (ctx.LIMIT() != null && ctx.ALL() == null) || ctx.FETCH() != null;
    }

    @Override
    public void enterSampling(SamplingContext ctx) {
        String name = IdentifierRules.normalize(ctx.name());
        if (!name.equals("bernoulli") && !name.equals("system")) {
            markAsWrite("unknown sampling method " + name);
        }
    }

    // ---- expressions ----

    @Override
    public void enterCall(CallContext ctx) {
        String name = ctx.function().qname() == null
                ? IdentifierRules.fold(ctx.function().getText())
                : IdentifierRules.normalize(ctx.function().qname());
        recordCall(name);
        if (HarmlessNames.AGGREGATES.contains(name)) {
            aggregateCount++;
        }
    }

    private void recordCall(String name) {
        functions.add(name);
        mayChangeSession |= !harmlessNames.leavesSessionUnchanged(name);
        if (!harmlessNames.isHarmlessFunction(name)) {
            markAsWrite("function " + name + " is not known to change nothing");
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
            recordCall(IdentifierRules.fold(special.getText()));
        }
        if (ctx.qname() != null) {
            checkColumn(ctx.qname());
        }
    }

    /** Checks for a function call in the notation of a column: {@code row.f} is {@code f(row)}. */
    private void checkColumn(QnameContext name) {
        checkFunctionNotation(IdentifierRules.normalize(name.name(name.name().size() - 1)));
    }

    private void checkFunctionNotation(String last) {
        if (harmlessNames.mayBeFunction(last)) {
            mayChangeSession = true;
            markAsWrite(last + " may be a function of the database");
        }
    }

    @Override
    public void enterPostfix(PostfixContext ctx) {
        if (ctx.DOT() != null && ctx.name() != null) {
            checkFunctionNotation(IdentifierRules.normalize(ctx.name()));
        }
    }

    @Override
    public void enterOperator(OperatorContext ctx) {
        String schema = ctx.name().isEmpty() ? "" : IdentifierRules.normalize(ctx.name(0));
        ParseTree sign = ctx.OPERATOR() == null ? ctx.getChild(0) : ctx.getChild(ctx.getChildCount() - 2);
        if (!harmlessNames.isHarmlessOperator(sign.getText())
                || ctx.name().size() > 1
                || (!schema.isEmpty() && !schema.equals("pg_catalog"))) {
            markAsWrite("operator " + sign.getText() + " is not known to change nothing");
        }
    }

    @Override
    public void enterTerm(TermContext ctx) {
        for (TerminalNode sign : ctx.OP()) {
            if (!harmlessNames.isHarmlessOperator(sign.getText())) {
                markAsWrite("operator " + sign.getText() + " is not known to change nothing");
            }
        }
    }

    @Override
    public void enterTypeName(TypeNameContext ctx) {
        String name = ctx.qname() == null ? "" : IdentifierRules.normalize(ctx.qname());
        if (!name.isEmpty() && !harmlessNames.isHarmlessType(name)) {
            markAsWrite("type " + name + " is not known to change nothing");
        }
    }

    // ---- keys ----

    @Override
    public void enterWhere(WhereContext ctx) {
        ParserRuleContext owner = ctx.getParent();
        boolean isTopLevel = owner instanceof SelectContext select
                ? select.getParent().getParent() instanceof BodyContext body
                        && body.operand().size() == 1
                        && isOutermost(body)
                : isOutermost(owner);
        if (isTopLevel) {
            collectComparisons(ctx.expr());
        }
    }

    /** Collects the columns compared with one literal, unless the condition contains an OR. */
    private void collectComparisons(ExprContext all) {
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
                collectComparison(all.term(from), all.term(from + 1));
                collectComparison(all.term(from + 1), all.term(from));
            }
            ranged = false;
            for (int j = from; j < i; j++) {
                ranged |= all.binary(j).BETWEEN() != null;
            }
            from = i + 1;
        }
    }

    private void collectComparison(TermContext column, TermContext literal) {
        PrimaryContext name = column.getChildCount() == 1 ? column.primary() : null;
        PrimaryContext value = literal.getChildCount() == 1 ? literal.primary() : null;
        if (name != null && name.qname() != null && value != null && value.literal() != null) {
            QnameContext qname = name.qname();
            literalPositions.putIfAbsent(
                    IdentifierRules.normalize(qname.name(qname.name().size() - 1)),
                    new LiteralPosition(value.literal().LITERAL().getSymbol().getTokenIndex(), 0, 1));
        }
    }

    /** Collects the columns of an INSERT with rows of values. */
    private void collectInsertedColumns(InsertContext ctx) {
        BodyContext body = ctx.query() == null ? null : ctx.query().body();
        OperandContext operand = body == null || body.operand().size() > 1 ? null : body.operand(0);
        if (operand == null || operand.VALUES() == null || operand.row().size() != 1) {
            return;
        }
        insertsRows = true;
        List<ExprContext> values = operand.row(0).exprs().expr();
        List<Into_Context> columns = ctx.into_();
        for (int i = 0; i < columns.size(); i++) {
            boolean listed = values.size() == 1 && columns.size() > 1;
            ExprContext value = listed ? values.get(0) : i < values.size() ? values.get(i) : null;
            PrimaryContext plainValue =
                    value != null && value.getChildCount() == 1 && value.term(0).getChildCount() == 1
                            ? value.term(0).primary()
                            : null;
            if (plainValue != null
                    && plainValue.literal() != null
                    && columns.get(i).getChildCount() == 1) {
                literalPositions.putIfAbsent(
                        IdentifierRules.normalize(columns.get(i).name(0)),
                        new LiteralPosition(
                                plainValue.literal().LITERAL().getSymbol().getTokenIndex(),
                                listed ? i : 0,
                                listed ? columns.size() : 1));
            }
        }
    }
}
