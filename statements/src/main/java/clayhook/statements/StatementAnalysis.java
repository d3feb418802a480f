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
    private static final Set<String> GROUPING_SETS = Set.of("rollup", "cube");

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
            collectInsertedColumns(ctx.insertSource());
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
        recordRelation(ctx.qname());
    }

    private void recordRelation(QnameContext qname) {
        String name = IdentifierRules.normalize(qname);
        if (!cteNames.contains(name)) {
            relations.add(name);
        }
        if (!harmlessNames.isHarmlessRelation(name)) {
            markAsWrite("reading " + name + " may change something");
        }
    }

    @Override
    public void enterNamedSource(NamedSourceContext ctx) {
        if (ctx.arguments() != null) {
            recordCall(ctx.qname(), ctx);
        } else if (ctx.FROM() == null) {
            recordRelation(ctx.qname());
        }
    }

    @Override
    public void enterSourceCall(SourceCallContext ctx) {
        recordCall(ctx.qname(), ctx);
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
    public void enterFetchCount(FetchCountContext ctx) {
        checkOperators(ctx.OP());
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
    public void enterNamed(NamedContext ctx) {
        ReferenceContext reference = ctx.reference();
        if (ctx.LITERAL() != null) {
            checkType(IdentifierRules.normalize(reference));
        } else if (ctx.arguments() == null) {
            // A column may be a function call in another notation: row.f is f(row).
            checkFunctionNotation(IdentifierRules.lastName(reference));
        } else if (!isGroupingSets(ctx)) {
            recordCall(reference == null ? keywordName(ctx) : IdentifierRules.normalize(reference));
        }
    }

    /** Whether the call is ROLLUP or CUBE in a GROUP BY, which are no functions there. */
    private static boolean isGroupingSets(NamedContext ctx) {
        ParserRuleContext term = ctx.getParent();
        ParserRuleContext expr = term.getParent();
        return expr.getParent() instanceof GroupingContext
                && term.getChildCount() == 1
                && expr.getChildCount() == 1
                && ctx.reference() != null
                && ctx.reference().getChildCount() == 1
                && GROUPING_SETS.contains(ctx.reference().getStart().getText());
    }

    @Override
    public void enterFunctionCall(FunctionCallContext ctx) {
        recordCall(IdentifierRules.normalize(ctx));
    }

    /** Records a call whose name is a qualified name, or the keyword LEFT or RIGHT with which the context begins. */
    private void recordCall(QnameContext qname, ParserRuleContext ctx) {
        recordCall(qname == null ? keywordName(ctx) : IdentifierRules.normalize(qname));
    }

    private static String keywordName(ParserRuleContext ctx) {
        return IdentifierRules.fold(ctx.getStart().getText());
    }

    private void recordCall(String name) {
        functions.add(name);
        mayChangeSession |= !harmlessNames.leavesSessionUnchanged(name);
        if (!harmlessNames.isHarmlessFunction(name)) {
            markAsWrite("function " + name + " is not known to change nothing");
        }
        if (HarmlessNames.AGGREGATES.contains(name)) {
            aggregateCount++;
        }
    }

    @Override
    public void enterPrimary(PrimaryContext ctx) {
        switch (ctx.getStart().getType()) {
            case Sql.EXTRACT, Sql.SUBSTRING, Sql.POSITION, Sql.OVERLAY, Sql.TRIM -> recordCall(keywordName(ctx));
            default -> {}
        }
    }

    private void checkFunctionNotation(String last) {
        if (harmlessNames.mayBeFunction(last)) {
            mayChangeSession = true;
            markAsWrite(last + " may be a function of the database");
        }
    }

    @Override
    public void enterAccessor(AccessorContext ctx) {
        if (ctx.name() != null) {
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
        checkOperators(ctx.OP());
    }

    @Override
    public void enterPositionTerm(PositionTermContext ctx) {
        checkOperators(ctx.OP());
    }

    private void checkOperators(List<TerminalNode> signs) {
        for (TerminalNode sign : signs) {
            if (!harmlessNames.isHarmlessOperator(sign.getText())) {
                markAsWrite("operator " + sign.getText() + " is not known to change nothing");
            }
        }
    }

    @Override
    public void enterTypeName(TypeNameContext ctx) {
        if (ctx.qname() != null) {
            checkType(IdentifierRules.normalize(ctx.qname()));
        }
    }

    private void checkType(String name) {
        if (!harmlessNames.isHarmlessType(name)) {
            markAsWrite("type " + name + " is not known to change nothing");
        }
    }

    // ---- keys ----

    @Override
    public void enterWhere(WhereContext ctx) {
        ParserRuleContext owner = ctx.getParent();
        boolean isTopLevel = owner instanceof SelectContext select
                ? select.getParent().getParent().getParent() instanceof BodyContext body
                        && body.bodyRest().operand().isEmpty()
                        && isOutermost(body)
                : isOutermost(owner);
        if (isTopLevel) {
            collectComparisons(ctx.expr());
        }
    }

    /**
     * Collects the columns compared with one literal, unless the condition contains an OR. The children of the
     * condition are its operands and, between them, its operators.
     */
    private void collectComparisons(ExprContext condition) {
        for (BinaryContext binary : condition.binary()) {
            if (binary.OR() != null) {
                return;
            }
        }
        List<ParseTree> children = condition.children;
        int from = 0;
        boolean ranged = false;
        for (int i = 1; i <= children.size(); i += 2) {
            BinaryContext binary = i < children.size() ? (BinaryContext) children.get(i) : null;
            if (binary == null || binary.AND() != null) {
                // The operand after the AND of a BETWEEN is the upper bound and no condition of its own.
                if (i - from == 3 && !ranged && isEquality((BinaryContext) children.get(from + 1))) {
                    collectComparison(children.get(from), children.get(from + 2));
                    collectComparison(children.get(from + 2), children.get(from));
                }
                ranged = i - from > 1 && containsBetween(children, from, i);
                from = i + 1;
            }
        }
    }

    private static boolean isEquality(BinaryContext binary) {
        return binary.operator() != null && binary.operator().getText().equals("=");
    }

    private static boolean containsBetween(List<ParseTree> children, int from, int to) {
        for (int i = from + 1; i < to; i += 2) {
            if (((BinaryContext) children.get(i)).BETWEEN() != null) {
                return true;
            }
        }
        return false;
    }

    private void collectComparison(ParseTree column, ParseTree value) {
        ReferenceContext reference = plainColumn(column);
        LiteralContext literal = plainLiteral(value);
        if (reference != null && literal != null) {
            literalPositions.putIfAbsent(
                    IdentifierRules.lastName(reference),
                    new LiteralPosition(literal.LITERAL().getSymbol().getTokenIndex(), 0, 1));
        }
    }

    /** The column if the operand is nothing else; otherwise null. */
    private static ReferenceContext plainColumn(ParseTree operand) {
        NamedContext named = operand instanceof TermContext term && term.getChildCount() == 1 && term.named() != null
                ? term.named()
                : null;
        ReferenceContext reference = named == null || named.getChildCount() > 1 ? null : named.reference();
        return reference == null || !reference.STAR().isEmpty() ? null : reference;
    }

    /** The literal if the operand is nothing else; otherwise null. */
    private static LiteralContext plainLiteral(ParseTree operand) {
        return operand instanceof TermContext term && term.getChildCount() == 1 && term.primary() != null
                ? term.primary().literal()
                : null;
    }

    /** Collects the columns of an INSERT with rows of values. */
    private void collectInsertedColumns(InsertSourceContext source) {
        PlainOperandContext rows = insertedRows(source);
        if (rows == null || rows.VALUES() == null || rows.row().size() != 1) {
            return;
        }
        insertsRows = true;
        List<ExprContext> values = rows.row(0).exprs().expr();
        List<Into_Context> columns = source.into_();
        boolean listed = values.size() == 1 && columns.size() > 1;
        for (int i = 0; i < columns.size(); i++) {
            ExprContext value = listed ? values.get(0) : i < values.size() ? values.get(i) : null;
            LiteralContext literal =
                    value != null && value.getChildCount() == 1 ? plainLiteral(value.getChild(0)) : null;
            if (literal != null && columns.get(i).getChildCount() == 1) {
                literalPositions.putIfAbsent(
                        IdentifierRules.normalize(columns.get(i).columnName().getStart()),
                        new LiteralPosition(
                                literal.LITERAL().getSymbol().getTokenIndex(),
                                listed ? i : 0,
                                listed ? columns.size() : 1));
            }
        }
    }

    /** The single, unbracketed operand of the query that an INSERT takes its rows from; null if it has another form. */
    private static PlainOperandContext insertedRows(InsertSourceContext source) {
        if (source.plainOperand() != null) {
            return source.bodyRest().operand().isEmpty() ? source.plainOperand() : null;
        }
        QueryContext query = source.insertRows() == null
                ? source.query()
                : source.insertRows().query();
        boolean bracketed = source.insertRows() == null && source.overriding() == null;
        BodyContext body = source.body() != null ? source.body() : query == null || bracketed ? null : query.body();
        return body == null || !body.bodyRest().operand().isEmpty()
                ? null
                : body.operand().plainOperand();
    }
}
