/** Fleets of real router processes with faults between them, and an audit of what nodes and clients saw. */
package clayhook.clustertests;
