/** Client of the platform's list of VMs. */
export * from './client.js';
