package org.bulrushpier.platform;

/**
 * An element of the platform's instance list. Immutable and thread-safe.
 *
 * @param name the name of the instance
 * @param kind the kind, which is entry, engine, service or store
 * @param address the caller address as IP:port
 * @param peerAddress the peer address of an entry as IP:port, or empty for other kinds
 * @param domain the name of the failure domain
 * @param isLeaving true if the platform is terminating the instance
 */
public record ListedInstance(
    String name,
    String kind,
    String address,
    String peerAddress,
    String domain,
    boolean isLeaving) {}
