/**
 * Admission of SQL statements of any kind: from the text of a statement to its request class, replica set and timeout.
 *
 * <p>Start at {@link clayhook.sql.SqlAdmission}. The package joins the classification of statements
 * ({@code statements}), the routing comment ({@code protocol}) and the operator's rules ({@code config}); it does no
 * I/O and reads no clock.
 */
package clayhook.sql;
