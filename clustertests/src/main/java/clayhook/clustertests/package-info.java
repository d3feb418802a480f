/** Tests of fleets of real router processes under faults, with audits of the requests that nodes and clients see. */
package clayhook.clustertests;
