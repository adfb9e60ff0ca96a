/** The routes, services and credentials that are in force, and the backend servers behind them. */
package org.kumquatplank.core.catalog;
