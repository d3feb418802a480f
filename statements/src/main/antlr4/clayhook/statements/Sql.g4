/**
 * A grammar of PostgreSQL statements over the tokens of a shape, based on the "SQL Commands" pages of the public
 * documentation. It has no operator precedence: the objects that a statement accesses do not depend on it, and a flat
 * expression is parsed by one loop instead of one level of recursion for each precedence level. Statements that do not
 * match the grammar are classified as writes.
 */
parser grammar Sql;

tokens {
    // kinds of tokens that the lexer distinguishes
    WORD, QUOTED, LITERAL, OP, EQ, STAR, LP, RP, LB, RB, COMMA, SEMI, DOT, COLON, COLON_EQ, ARROW, CAST_TO,
    // reserved words, which are names only if quoted
    ALL, ANALYSE, ANALYZE, AND, ANY, ARRAY, AS, ASC, ASYMMETRIC, BOTH, CASE, CAST, COLLATE, CROSS, CURRENT_CATALOG,
    CURRENT_DATE, CURRENT_ROLE, CURRENT_SCHEMA, CURRENT_TIME, CURRENT_TIMESTAMP, CURRENT_USER, DEFAULT, DESC, DISTINCT,
    DO, ELSE, END, EXCEPT, FALSE, FETCH, FOR, FROM, FULL, GROUP, HAVING, ILIKE, IN, INNER, INTERSECT, INTO, IS, ISNULL,
    JOIN, LATERAL, LEADING, LEFT, LIKE, LIMIT, LOCALTIME, LOCALTIMESTAMP, NATURAL, NOT, NOTNULL, NULL, OFFSET, ON, ONLY,
    OR, ORDER, OUTER, OVERLAPS, RETURNING, RIGHT, SELECT, SESSION_USER, SIMILAR, SOME, SYMMETRIC, TABLE, TABLESAMPLE,
    THEN, TO, TRAILING, TRUE, UNION, USER, USING, VARIADIC, WHEN, WHERE, WINDOW, WITH,
    // keywords that are also valid as names
    AT, BETWEEN, BIT, BY, CHARACTER, CONFLICT, CUBE, CURRENT, DELETE, DOUBLE, ESCAPE, EXCLUDE, EXISTS, EXPLAIN, EXTRACT,
    FILTER, FIRST, FOLLOWING, GROUPING, GROUPS, INSERT, INTERVAL, KEY, LAST, LOCKED, MATERIALIZED, MERGE, NCHAR, NEXT,
    NO, NOTHING, NOWAIT, NULLS, OF, OPERATOR, ORDINALITY, OTHERS, OVER, OVERLAY, OVERRIDING, PARTITION, POSITION,
    PRECEDING, PRECISION, RANGE, RECURSIVE, REPEATABLE, ROLLUP, ROW, ROWS, SET, SETOF, SETS, SHARE, SHOW, SKIP_,
    SUBSTRING, SYSTEM, TIES, TIME, TIMESTAMP, TRIM, UNBOUNDED, UNKNOWN, UPDATE, VALUE, VALUES, VARYING, VERBOSE, WITHIN,
    WITHOUT, ZONE, YEAR, MONTH, DAY, HOUR, MINUTE, SECOND
}

entry : command SEMI* EOF ;

command
    : EXPLAIN ( LP explainOption ( COMMA explainOption )* RP | analyze? VERBOSE? ) statement   # Explained
    | SHOW ( qname | ALL | TIME ZONE )                                                         # Shown
    | statement                                                                               # Plain
    ;

explainOption : ( analyze | VERBOSE | name ) ( literal | TRUE | FALSE | ON | name )? ;

analyze : ANALYZE | ANALYSE ;

statement : with? ( body | insert | update | delete ) ;

// ---- queries ----

query : with? body ;

with : WITH RECURSIVE? cte ( COMMA cte )* ;

cte : name ( LP names RP )? AS ( NOT? MATERIALIZED )? LP statement RP ;

body : operand ( ( UNION | INTERSECT | EXCEPT ) ( ALL | DISTINCT )? operand )* tail* ;

operand : select | VALUES row ( COMMA row )* | TABLE ONLY? relation | LP query RP ;

row : LP exprs RP ;

select
    : SELECT ( ALL | DISTINCT ( ON LP exprs RP )? )? targets? into? ( FROM sources )? ( WHERE where )?
      ( GROUP BY ( ALL | DISTINCT )? grouping ( COMMA grouping )* )? ( HAVING expr )?
      ( WINDOW name AS LP window RP ( COMMA name AS LP window RP )* )?
    ;

where : expr ;

into : INTO ( name | TABLE | ONLY )* qname ;

tail
    : ORDER BY sorts
    | LIMIT ( ALL | expr )
    | OFFSET expr ( ROW | ROWS )?
    | FETCH ( FIRST | NEXT ) term? ( ROW | ROWS ) ( ONLY | WITH TIES )
    | lock
    ;

lock
    : FOR ( NO KEY UPDATE | UPDATE | KEY SHARE | SHARE ) ( OF qname ( COMMA qname )* )? ( NOWAIT | SKIP_ LOCKED )?
    ;

sorts : sort ( COMMA sort )* ;

sort : expr ( ASC | DESC | USING operator )? ( NULLS ( FIRST | LAST ) )? ;

grouping : ( ROLLUP | CUBE ) LP exprs RP | GROUPING SETS LP grouping ( COMMA grouping )* RP | LP RP | expr ;

sources : source ( COMMA source )* ;

source : from join* ;

join
    : ( CROSS | NATURAL? ( INNER | ( LEFT | RIGHT | FULL ) OUTER? )? ) JOIN from
      ( ON expr | USING LP names RP ( AS name )? )?
    ;

from
    : ( ONLY? relation STAR? | ONLY LP relation RP ) ( TABLESAMPLE sampling LP exprs RP ( REPEATABLE LP expr RP )? )? alias?
    | LATERAL? call ( WITH ORDINALITY )? alias?
    | LATERAL? ROWS FROM LP call ( COMMA call )* RP ( WITH ORDINALITY )? alias?
    | LATERAL? LP query RP alias?
    | LP joined RP alias?
    ;

joined : from join+ | LP joined RP ;

sampling : name ;

alias : AS? name ( LP columns RP )? | AS LP columns RP ;

columns : column ( COMMA column )* ;

column : name type? ;

relation : qname ;

targets : target ( COMMA target )* ;

target : STAR | expr ( AS label | name )? ;

// ---- statements that change data ----

insert
    : INSERT INTO target_ ( AS name )? ( LP into_ ( COMMA into_ )* RP )? ( OVERRIDING ( USER | SYSTEM ) VALUE )?
      ( DEFAULT VALUES | query ) conflict? returning?
    ;

conflict
    : ON CONFLICT ( LP exprs RP ( WHERE expr )? | ON name name )?
      DO ( NOTHING | UPDATE SET sets ( WHERE expr )? )
    ;

update : UPDATE ONLY? target_ STAR? alias? SET sets ( FROM sources )? ( WHERE where )? returning? ;

delete : DELETE FROM ONLY? target_ STAR? alias? ( USING sources )? ( WHERE where )? returning? ;

target_ : qname ;

into_ : name ( DOT name | LB expr RB )* ;

sets : set ( COMMA set )* ;

set : ( into_ | LP into_ ( COMMA into_ )* RP ) EQ expr ;

returning : RETURNING targets ;

// ---- expressions ----

exprs : expr ( COMMA expr )* ;

expr : term ( binary term )* ;

binary
    : AND | OR | operator | NOT? ( LIKE | ILIKE | SIMILAR TO | BETWEEN ( SYMMETRIC | ASYMMETRIC )? )
    | IS NOT? DISTINCT FROM | AT TIME ZONE | ESCAPE | OVERLAPS
    ;

operator : OP | EQ | STAR | OPERATOR LP ( name DOT )* ( OP | EQ | STAR ) RP ;

term : ( NOT | OP )* primary postfix* ;

postfix
    : CAST_TO type
    | LB ( expr? ( COLON expr? )? ) RB
    | DOT ( name | STAR )
    | IS NOT? ( NULL | TRUE | FALSE | UNKNOWN )
    | ISNULL
    | NOTNULL
    | COLLATE qname
    | NOT? IN LP ( query | exprs ) RP
    ;

primary
    : literal
    | NULL | TRUE | FALSE | DEFAULT
    | CASE expr? ( WHEN expr THEN expr )+ ( ELSE expr )? END
    | CAST LP expr AS type RP
    | ( EXISTS | ARRAY | ANY | ALL | SOME ) LP query RP
    | ( ANY | ALL | SOME ) LP expr RP
    | ARRAY elements
    | ROW LP exprs? RP
    | LP query RP
    | LP exprs RP
    | EXTRACT LP ( name | literal ) FROM expr RP
    | SUBSTRING LP expr ( FROM expr )? ( FOR expr )? RP
    | POSITION LP expr IN expr RP
    | OVERLAY LP expr name expr FROM expr ( FOR expr )? RP
    | TRIM LP ( BOTH | LEADING | TRAILING )? expr? FROM? exprs RP
    | GROUPING LP exprs RP
    | INTERVAL LITERAL unit*
    | niladic ( LP literal RP )?
    | call
    | type LITERAL
    | qname
    ;

niladic
    : CURRENT_DATE | CURRENT_TIME | CURRENT_TIMESTAMP | LOCALTIME | LOCALTIMESTAMP | CURRENT_USER | CURRENT_ROLE
    | SESSION_USER | USER | CURRENT_CATALOG | CURRENT_SCHEMA
    ;

elements : LB ( element ( COMMA element )* )? RB ;

element : elements | expr ;

literal : LITERAL ;

unit : YEAR | MONTH | DAY | HOUR | MINUTE | SECOND | TO ;

call
    : function LP ( STAR | ( ALL | DISTINCT )? argument ( COMMA argument )* ( ORDER BY sorts )? )? RP
      ( WITHIN GROUP LP ORDER BY sorts RP )? ( FILTER LP WHERE expr RP )? ( OVER ( name | LP window RP ) )?
    ;

function : qname | LEFT | RIGHT ;

argument : VARIADIC? ( name ( ARROW | COLON_EQ ) )? expr ;

window : name? ( PARTITION BY exprs )? ( ORDER BY sorts )? frame? ;

frame
    : ( RANGE | ROWS | GROUPS ) ( BETWEEN bound AND bound | bound )
      ( EXCLUDE ( CURRENT ROW | GROUP | TIES | NO OTHERS ) )?
    ;

bound : UNBOUNDED ( PRECEDING | FOLLOWING ) | CURRENT ROW | term ( PRECEDING | FOLLOWING ) ;

type
    : SETOF? typeName ( LP exprs RP )? ( ( WITH | WITHOUT ) TIME ZONE )? ( ARRAY? LB LITERAL? RB | ARRAY )*
    ;

typeName : DOUBLE PRECISION | ( BIT | CHARACTER | NCHAR ) VARYING? | INTERVAL unit* | qname ;

// ---- names ----

names : name ( COMMA name )* ;

qname : name ( DOT name )* ;

label
    : name | ALL | AND | ANY | ARRAY | AS | ASC | BOTH | CASE | CAST | COLLATE | CURRENT_DATE | CURRENT_TIME
    | CURRENT_TIMESTAMP | CURRENT_USER | DEFAULT | DESC | DISTINCT | DO | ELSE | END | FALSE | FETCH | FOR | FROM | FULL
    | GROUP | IN | IS | JOIN | LEFT | LIKE | LIMIT | NOT | NULL | OFFSET | ON | ONLY | OR | ORDER | RIGHT | SELECT
    | TABLE | TO | TRUE | UNION | USER | USING | WHEN | WHERE | WITH
    ;

name
    : WORD | QUOTED | AT | BETWEEN | BIT | BY | CHARACTER | CONFLICT | CUBE | CURRENT | DELETE | DOUBLE | ESCAPE | EXCLUDE
    | EXISTS | EXPLAIN | EXTRACT | FILTER | FIRST | FOLLOWING | GROUPING | GROUPS | INSERT | INTERVAL | KEY | LAST | LOCKED
    | MATERIALIZED | MERGE | NCHAR | NEXT | NO | NOTHING | NOWAIT | NULLS | OF | OPERATOR | ORDINALITY | OTHERS | OVER
    | OVERLAY | OVERRIDING | PARTITION | POSITION | PRECEDING | PRECISION | RANGE | RECURSIVE | REPEATABLE | ROLLUP | ROW
    | ROWS | SET | SETOF | SETS | SHARE | SHOW | SKIP_ | SUBSTRING | SYSTEM | TIES | TIME | TIMESTAMP | TRIM | UNBOUNDED
    | UNKNOWN | UPDATE | VALUE | VALUES | VARYING | VERBOSE | WITHIN | WITHOUT | ZONE | YEAR | MONTH | DAY | HOUR | MINUTE
    | SECOND
    ;
