/**
 * A grammar of PostgreSQL statements over the tokens of a shape, based on the "SQL Commands" pages of the public
 * documentation. It has no operator precedence: the objects that a statement accesses do not depend on it, and a flat
 * expression is parsed by one loop instead of one level of recursion for each precedence level. Statements that do not
 * match the grammar are classified as writes.
 *
 * Each decision of the grammar depends on one token (LL(1)), so that the parser's work is proportional to the length
 * of a shape and it needs no tables of lookahead states. Three things make this possible:
 * - GrammarTokens tells by its neighbours whether a word that is not reserved is a keyword or a name.
 * - Alternatives that begin alike are one alternative with several ends, such as a column, a call and a typed literal.
 * - Some statements that PostgreSQL rejects match, such as (a UNION SELECT 1). They do no harm: no node executes them.
 */
parser grammar Sql;

tokens {
    // kinds of tokens that the lexer distinguishes
    WORD, QUOTED, LITERAL, OP, EQ, STAR, LP, RP, LB, RB, COMMA, SEMI, DOT, COLON, COLON_EQ, ARROW, CAST_TO,
    // tokens that have a type of their own because of the token that follows
    ARGUMENT_NAME, EXPLAIN_LP, GROUPING_SETS, IS_DISTINCT, NOT_IN, ON_CONFLICT, ROW_CONSTRUCTOR, UNIT,
    // reserved words, which are names only if quoted
    ALL, ANALYSE, ANALYZE, AND, ANY, ARRAY, AS, ASC, ASYMMETRIC, BOTH, CASE, CAST, COLLATE, CROSS, CURRENT_CATALOG,
    CURRENT_DATE, CURRENT_ROLE, CURRENT_SCHEMA, CURRENT_TIME, CURRENT_TIMESTAMP, CURRENT_USER, DEFAULT, DESC, DISTINCT,
    DO, ELSE, END, EXCEPT, FALSE, FETCH, FOR, FROM, FULL, GROUP, HAVING, ILIKE, IN, INNER, INTERSECT, INTO, IS, ISNULL,
    JOIN, LATERAL, LEADING, LEFT, LIKE, LIMIT, LOCALTIME, LOCALTIMESTAMP, NATURAL, NOT, NOTNULL, NULL, OFFSET, ON, ONLY,
    OR, ORDER, OUTER, OVERLAPS, PLACING, RETURNING, RIGHT, SELECT, SESSION_USER, SIMILAR, SOME, SYMMETRIC, TABLE,
    TABLESAMPLE, THEN, TO, TRAILING, TRUE, UNION, USER, USING, VARIADIC, WHEN, WHERE, WINDOW, WITH,
    // keywords that are also valid as names
    AT, BETWEEN, BIT, BY, CHARACTER, CONFLICT, CURRENT, DELETE, DOUBLE, ESCAPE, EXCLUDE, EXISTS, EXPLAIN, EXTRACT,
    FILTER, FIRST, FOLLOWING, GROUPING, GROUPS, INSERT, INTERVAL, KEY, LAST, LOCKED, MATERIALIZED, NCHAR, NEXT, NO,
    NOTHING, NOWAIT, NULLS, OF, OPERATOR, ORDINALITY, OTHERS, OVER, OVERLAY, OVERRIDING, PARTITION, POSITION, PRECEDING,
    PRECISION, RANGE, RECURSIVE, REPEATABLE, ROW, ROWS, SET, SETS, SHARE, SHOW, SKIP_, SUBSTRING, SYSTEM, TIES, TIME,
    TRIM, UNBOUNDED, UNKNOWN, UPDATE, VALUE, VALUES, VARYING, VERBOSE, WITHIN, WITHOUT, ZONE
}

entry : command SEMI* EOF ;

command
    : EXPLAIN ( EXPLAIN_LP explainOption ( COMMA explainOption )* RP | analyze? VERBOSE? ) statement
    | SHOW ( qname | ALL | TIME ZONE )
    | statement
    ;

explainOption : ( analyze | name ) ( literal | TRUE | FALSE | ON | name )? ;

analyze : ANALYZE | ANALYSE ;

statement : with? ( body | insert | update | delete ) ;

// ---- queries ----

query : with? body ;

with : WITH RECURSIVE? cte ( COMMA cte )* ;

cte : name ( LP names RP )? AS ( NOT? MATERIALIZED )? LP statement RP ;

body : operand bodyRest ;

bodyRest : ( ( UNION | INTERSECT | EXCEPT ) ( ALL | DISTINCT )? operand )* tail* ;

operand : plainOperand | LP query RP ;

plainOperand : select | VALUES row ( COMMA row )* | TABLE ONLY? relation ;

row : LP exprs RP ;

select
    : SELECT ( ALL | DISTINCT ( ON LP exprs RP )? )? targets? into? ( FROM sources )? ( WHERE where )?
      ( GROUP BY ( ALL | DISTINCT )? grouping ( COMMA grouping )* )? ( HAVING expr )?
      ( WINDOW name AS LP window RP ( COMMA name AS LP window RP )* )?
    ;

where : expr ;

into : INTO ( name | DOT | TABLE | ONLY )+ ;

tail
    : ORDER BY sorts
    | LIMIT ( ALL | expr )
    | OFFSET expr ( ROW | ROWS )?
    | FETCH ( FIRST | NEXT ) fetchCount? ( ROW | ROWS ) ( ONLY | WITH TIES )
    | lock
    ;

fetchCount : OP* ( primary accessor* | functionCall ) ;

lock
    : FOR ( NO KEY UPDATE | UPDATE | KEY SHARE | SHARE ) ( OF qname ( COMMA qname )* )? ( NOWAIT | SKIP_ LOCKED )?
    ;

sorts : sort ( COMMA sort )* ;

sort : expr ( ASC | DESC | USING operator )? ( NULLS ( FIRST | LAST ) )? ;

/** ROLLUP (...) and CUBE (...) have the form of a call. */
grouping : GROUPING_SETS SETS LP grouping ( COMMA grouping )* RP | expr ;

sources : source ( COMMA source )* ;

source : from join* ;

join
    : ( CROSS | NATURAL? ( INNER | ( LEFT | RIGHT | FULL ) OUTER? )? ) JOIN from
      ( ON expr | USING LP names RP ( AS name )? )?
    ;

from : ( plainSource | bracketedSource ) alias? ;

plainSource
    : ONLY ( relation | LP relation RP ) STAR? sample?
    | namedSource
    | LATERAL ( namedSource | bracketedSource )
    ;

/** A relation, a call of a function, or ROWS FROM (...), which begins like a relation called "rows". */
namedSource
    : qname ( STAR sample? | sample | arguments ordinality? | FROM LP sourceCall ( COMMA sourceCall )* RP ordinality? )?
    | ( LEFT | RIGHT ) arguments ordinality?
    ;

/** A query or a join in brackets. It may begin with a query in brackets of its own. */
bracketedSource
    : LP ( with body | plainOperand bodyRest | plainSource alias? join+ | bracketedSource ( alias? join+ | bodyRest ) ) RP
    ;

sourceCall : ( qname | LEFT | RIGHT ) arguments ;

ordinality : WITH ORDINALITY ;

sample : TABLESAMPLE sampling LP exprs RP ( REPEATABLE LP expr RP )? ;

sampling : name ;

alias : AS ( name ( LP columns RP )? | LP columns RP ) | name ( LP columns RP )? ;

columns : column ( COMMA column )* ;

column : name type? ;

relation : qname ;

targets : target ( COMMA target )* ;

target : STAR | expr ( AS label | name )? ;

// ---- statements that change data ----

insert : INSERT INTO target_ ( AS name )? insertSource conflict? returning? ;

insertSource
    : LP ( into_ ( COMMA into_ )* RP insertRows | query RP bodyRest )
    | overriding ( DEFAULT VALUES | query )
    | DEFAULT VALUES
    | with body
    | plainOperand bodyRest
    ;

insertRows : overriding? ( DEFAULT VALUES | query ) ;

overriding : OVERRIDING ( USER | SYSTEM ) VALUE ;

conflict
    : ON_CONFLICT CONFLICT ( LP exprs RP ( WHERE expr )? | ON name name )?
      DO ( NOTHING | UPDATE SET sets ( WHERE expr )? )
    ;

update
    : UPDATE ONLY? target_ STAR? ( AS name | WORD | QUOTED )? SET sets ( FROM sources )? ( WHERE where )? returning?
    ;

delete : DELETE FROM ONLY? target_ STAR? ( AS? name )? ( USING sources )? ( WHERE where )? returning? ;

target_ : qname ;

into_ : columnName ( DOT name | LB expr RB )* ;

sets : set ( COMMA set )* ;

set : ( into_ | LP into_ ( COMMA into_ )* RP ) EQ expr ;

returning : RETURNING targets ;

// ---- expressions ----

exprs : expr ( COMMA expr )* ;

expr : term ( binary ( term | quantified ) )* ;

binary
    : AND | OR | operator | NOT? ( LIKE | ILIKE | SIMILAR TO | BETWEEN ( SYMMETRIC | ASYMMETRIC )? )
    | IS_DISTINCT NOT? DISTINCT FROM | AT TIME ZONE | ESCAPE | OVERLAPS
    ;

operator : OP | EQ | STAR | OPERATOR LP ( name DOT )* ( OP | EQ | STAR ) RP ;

quantified : ( ANY | ALL | SOME ) bracketed test* ;

term : ( NOT | OP )* ( named | primary accessor* ) test* ;

accessor : subscript | DOT ( name | STAR ) ;

subscript : LB ( expr? ( COLON expr? )? ) RB ;

test
    : CAST_TO type
    | IS NOT? ( NULL | TRUE | FALSE | UNKNOWN )
    | ISNULL
    | NOTNULL
    | COLLATE qname
    | NOT_IN? IN bracketed
    ;

/** A column, a call or a literal after the name of its type, all of which begin with a name. */
named
    : reference ( zone? LITERAL | arguments ( zone? LITERAL | callClauses accessor* ) | subscript accessor* )?
    | ( LEFT | RIGHT ) arguments callClauses accessor*
    ;

reference : columnName ( DOT ( name | STAR ) )* ;

functionCall : ( WORD | QUOTED ) ( DOT name )* arguments ;

/** A query or expressions in brackets. The first expression may be a query that the rest continues. */
bracketed : LP ( with body | plainOperand bodyRest | ( exprs bodyRest )? ) RP ;

primary
    : literal
    | NULL | TRUE | FALSE | DEFAULT
    | CASE expr? ( WHEN expr THEN expr )+ ( ELSE expr )? END
    | CAST LP expr AS type RP
    | EXISTS LP query RP
    | ARRAY ( elements | LP query RP )
    | ROW_CONSTRUCTOR LP exprs? RP
    | bracketed
    | EXTRACT LP ( name | literal ) FROM expr RP
    | SUBSTRING LP argument ( COMMA argument )* ( FROM expr )? ( FOR expr )? RP
    | POSITION LP positionOperand IN positionOperand RP
    | OVERLAY LP argument ( COMMA argument )* ( PLACING expr FROM expr ( FOR expr )? )? RP
    | TRIM LP ( BOTH | LEADING | TRAILING )? ( FROM exprs | exprs ( FROM exprs )? ) RP
    | GROUPING LP exprs RP
    | INTERVAL LITERAL ( UNIT | TO )*
    | DOUBLE PRECISION LITERAL
    | ( BIT | CHARACTER | NCHAR ) VARYING ( LP exprs RP )? LITERAL
    | niladic ( LP literal RP )?
    ;

/** An operand of POSITION, in which IN is no operator. */
positionOperand : positionTerm ( ( operator | IS_DISTINCT NOT? DISTINCT FROM ) positionTerm )* ;

positionTerm : OP* ( named | primary accessor* ) ( CAST_TO type )* ;

niladic
    : CURRENT_DATE | CURRENT_TIME | CURRENT_TIMESTAMP | LOCALTIME | LOCALTIMESTAMP | CURRENT_USER | CURRENT_ROLE
    | SESSION_USER | USER | CURRENT_CATALOG | CURRENT_SCHEMA
    ;

elements : LB ( element ( COMMA element )* )? RB ;

element : elements | expr ;

literal : LITERAL ;

arguments : LP ( STAR | ( ALL | DISTINCT )? argument ( COMMA argument )* ( ORDER BY sorts )? )? RP ;

callClauses
    : ( WITHIN GROUP LP ORDER BY sorts RP )? ( FILTER LP WHERE expr RP )? ( OVER ( name | LP window RP ) )?
    ;

argument : VARIADIC? ( ARGUMENT_NAME ( ARROW | COLON_EQ ) )? expr ;

window : ( WORD | QUOTED )? ( PARTITION BY exprs )? ( ORDER BY sorts )? frame? ;

frame
    : ( RANGE | ROWS | GROUPS ) ( BETWEEN bound AND bound | bound )
      ( EXCLUDE ( CURRENT ROW | GROUP | TIES | NO OTHERS ) )?
    ;

bound : UNBOUNDED ( PRECEDING | FOLLOWING ) | CURRENT ROW | term ( PRECEDING | FOLLOWING ) ;

type : typeName ( LP exprs RP )? zone? ( ARRAY | LB LITERAL? RB )* ;

zone : ( WITH | WITHOUT ) TIME ZONE ;

typeName : DOUBLE PRECISION | ( BIT | CHARACTER | NCHAR ) VARYING | INTERVAL ( UNIT | TO )* | qname ;

// ---- names ----

names : name ( COMMA name )* ;

qname : name ( DOT name )* ;

label
    : name | ALL | AND | ANY | ARRAY | AS | ASC | BOTH | CASE | CAST | COLLATE | CURRENT_DATE | CURRENT_TIME
    | CURRENT_TIMESTAMP | CURRENT_USER | DEFAULT | DESC | DISTINCT | DO | ELSE | END | FALSE | FETCH | FOR | FROM | FULL
    | GROUP | IN | IS | JOIN | LEFT | LIKE | LIMIT | NOT | NULL | OFFSET | ON | ONLY | OR | ORDER | RIGHT | SELECT
    | TABLE | TO | TRUE | UNION | USER | USING | WHEN | WHERE | WITH
    ;

/** A name where no expression begins. */
name
    : WORD | QUOTED | DELETE | EXISTS | EXTRACT | FOLLOWING | GROUPING | GROUPS | INSERT | KEY | LOCKED
    | MATERIALIZED | NO | NOWAIT | OF | ORDINALITY | OVERLAY | POSITION | PRECEDING | RANGE | ROW
    | ROW_CONSTRUCTOR | ROWS | SET | SHARE | SKIP_ | SUBSTRING | TIES | TRIM | UPDATE
    ;

/** A name where an expression may begin: not the words before a bracket that begin an expression of another kind. */
columnName
    : WORD | QUOTED | DELETE | FOLLOWING | GROUPS | INSERT | KEY | LOCKED | MATERIALIZED | NO | NOWAIT | OF | ORDINALITY
    | PRECEDING | RANGE | ROW | ROWS | SET | SHARE | SKIP_ | TIES | UPDATE
    ;
