/** Client of the platform's list of VMs. */
export * from './client.js';
export * from './http-client.js';
