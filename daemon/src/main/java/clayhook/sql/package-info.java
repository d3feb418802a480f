/**
 * Admission of SQL statements: determines the request class, replica set and timeout of a statement from its text.
 *
 * <p>Start at {@link clayhook.sql.SqlAdmission}. The package combines the classification of statements
 * ({@code statements}), the routing comment ({@code protocol}) and the operator's rules ({@code config}); it does no
 * I/O and reads no clock.
 */
package clayhook.sql;
