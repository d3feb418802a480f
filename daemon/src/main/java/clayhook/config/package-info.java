/**
 * Readers of the two configurations of a router, the platform's JSON file ({@link clayhook.config.RouterConfiguration})
 * and the operator's TOML file ({@link clayhook.config.OperatorConfigurationReader}), and of the load reports of nodes.
 *
 * <p>The keys in the files are those that the documentation for the platform and the operator uses; the readers map
 * them to the names in the code. Every error is a {@link clayhook.config.ConfigurationException} that names the key
 * and, in TOML, file and line. Files are read at startup and on a reload, never while a request waits. The package uses
 * {@code clayhook.discovery} for endpoint lists.
 */
package clayhook.config;
