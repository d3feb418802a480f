package clayhook.statements;

/**
 * The identity of the operator's rules by which a fact about a statement was found. Each {@link Classifier} has its
 * own; a fact of another generation must not enter its cache.
 */
final class RulesGeneration {}
