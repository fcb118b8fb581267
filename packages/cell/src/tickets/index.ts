export {TicketUse, type TicketCounts} from './ticket-use.js';
