export {OpenExecutors, smallestTasks} from './open-executors.js';
