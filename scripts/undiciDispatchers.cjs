/** The part of undici that the entry host uses: its clients and pools over HTTP/1.1. */
const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Pool = require('undici/lib/dispatcher/pool');
const buildConnector = require('undici/lib/core/connect');
const api = require('undici/lib/api');
const errors = require('undici/lib/core/errors');

Object.assign(Dispatcher.prototype, api);

module.exports = { Client, Pool, buildConnector, errors };
