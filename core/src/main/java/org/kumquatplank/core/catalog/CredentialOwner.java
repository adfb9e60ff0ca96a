package org.kumquatplank.core.catalog;

import java.util.OptionalInt;

/**
 * The client account that a credential belongs to.
 *
 * @param account name of the client account
 * @param regions regions in which requests of the account may be served
 * @param priority priority of all requests of the account, empty to use that of the route
 */
public record CredentialOwner(String account, RegionRule regions, OptionalInt priority) {}
