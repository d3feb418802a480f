/**
 * The values that routers share, each with its join, and the readers that turn this router's copy of them into what it
 * may act on. A value says who saw it and when it was true there; no reader takes absence for knowledge.
 */
package clayhook.fleet.types;
